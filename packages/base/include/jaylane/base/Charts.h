#pragma once

#include <string_view>

/// YAML texts of the state charts under charts/, embedded at build time so that an installed daemon
/// needs no data files.
namespace jaylane::base::charts {

std::string_view EntryVm();
std::string_view Upstream();
std::string_view Shift();
std::string_view Lease();

} // namespace jaylane::base::charts
