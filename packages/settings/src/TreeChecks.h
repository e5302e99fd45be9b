#pragma once

#include "Reporter.h"
#include "jaylane/settings/SettingsTree.h"

namespace jaylane::settings {

/// Reports inconsistencies between the entries of a tree: references to unknown names, zones in
/// two regions, missing links, overlapping client blocks, laws that leave callers without an
/// allowed region, and effective settings that contradict each other.
void CheckTree(const SettingsTree& aTree, Reporter& aReporter);

} // namespace jaylane::settings
