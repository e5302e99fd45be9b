#pragma once

#include "ValueSpec.h"
#include "jaylane/settings/EffectiveSettings.h"

#include <vector>

namespace jaylane::settings {

/// @return the settings that nodes of the tree may set, with ranges and defaults.
const std::vector<KeySpec<EffectiveSettings>>& TreeKeys();

} // namespace jaylane::settings
