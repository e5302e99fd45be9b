#pragma once

#include <system_error>

namespace jaylane::policy {

/// Errors of this package, jaylane::policy.
enum class PolicyErrc
{
  Ok = 0,
  InvalidBlock,
  InvalidLimits,
  InvalidLoad,
  InvalidTable,
  InvalidTopology,
};

/// @return the category of PolicyErrc.
const std::error_category& PolicyCategory();

/// @return aCode as an error code of PolicyCategory().
std::error_code make_error_code(PolicyErrc aCode);

} // namespace jaylane::policy

template<>
struct std::is_error_code_enum<jaylane::policy::PolicyErrc> : std::true_type
{
};
