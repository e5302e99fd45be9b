#pragma once

#include "Reporter.h"
#include "jaylane/settings/SettingsTree.h"

namespace jaylane::settings {

/// Reports contradictions between entries of a tree: unknown names, missing links, overlapping
/// client blocks, laws that leave callers without a region, and settings that exclude each other.
void CheckTree(const SettingsTree& aTree, Reporter& aReporter);

} // namespace jaylane::settings
