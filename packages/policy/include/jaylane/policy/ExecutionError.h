#pragma once

#include <system_error>

namespace jaylane::policy {

/// Errors of execution scopes, keys and the ledger.
enum class ExecutionErrc
{
  Ok = 0,
  /// Neither a scoped nor a caller-chosen key. Requests with such a key never run.
  MalformedKey,
  MalformedScope,
  InvalidOptions,
  /// The ledger was sealed by ExecutionLedger::Export(): it imports no scopes, and exports its own
  /// only to the recipient of the first export.
  Sealed,
  /// The transfer names another incarnation as its recipient.
  WrongRecipient,
  /// The ledger cannot hold the keys of the transfer.
  Full,
};

/// @return the category of ExecutionErrc.
const std::error_category& ExecutionCategory();

/// @return the value as an error code of ExecutionCategory().
std::error_code make_error_code(ExecutionErrc aCode);

} // namespace jaylane::policy

template<>
struct std::is_error_code_enum<jaylane::policy::ExecutionErrc> : std::true_type
{
};
