#pragma once

#include <system_error>

namespace jaylane::policy {

/// Errors of slot shares and leases.
enum class SlotErrc
{
  Ok = 0,
  InvalidShareTable,
  NotOwner,
  NotDrained,
  StaleTable,
};

/// @return the category of SlotErrc.
const std::error_category& SlotCategory();

/// @return the value as an error code of SlotCategory().
std::error_code make_error_code(SlotErrc aCode);

} // namespace jaylane::policy

template<>
struct std::is_error_code_enum<jaylane::policy::SlotErrc> : std::true_type
{
};
