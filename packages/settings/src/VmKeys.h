#pragma once

#include "ValueSpec.h"
#include "jaylane/settings/VmSettings.h"

#include <vector>

namespace jaylane::settings {

/// @return the keys of a VM settings file with ranges and defaults.
const std::vector<KeySpec<VmSettings>>& VmKeys();

/// @return the keys of an entry of admin_tokens.
const std::vector<KeySpec<AdminToken>>& AdminTokenKeys();

} // namespace jaylane::settings
