#pragma once

#include <system_error>

namespace jaylane::policy {

/// Errors of execution scopes, keys and the ledger.
enum class ExecutionErrc
{
  Ok = 0,
  /// Neither a scoped nor a caller-chosen key. Such a key never runs anywhere.
  MalformedKey,
  MalformedScope,
  InvalidOptions,
  /// The ledger was sealed by Export: it takes no scope and gives its own only to the peer
  /// that was named first.
  Sealed,
  /// The transfer names another incarnation as its recipient.
  WrongRecipient,
  /// The keys of the transfer do not fit.
  Full,
};

/// @return the category of ExecutionErrc.
const std::error_category& ExecutionCategory();

/// @param aCode value of this layer.
std::error_code make_error_code(ExecutionErrc aCode);

} // namespace jaylane::policy

template<>
struct std::is_error_code_enum<jaylane::policy::ExecutionErrc> : std::true_type
{
};
