#pragma once

#include "jaylane/policy/ExecutionScope.h"

#include <variant>

namespace jaylane::policy {

/// Key of a non-idempotent request that belongs to an execution scope.
struct ExecutionKey
{
  static constexpr std::size_t kMaxNonceBytes = 32;

  ExecutionScope m_scope;
  /// 1 to 32 characters of [A-Za-z0-9_-], chosen by the caller.
  std::string m_nonce;

  auto operator<=>(const ExecutionKey&) const = default;

  /// @return "<scope>.<nonce>".
  std::string ToString() const;
};

/// Key that the caller chose without a scope. A claim in the store keeps it from running twice.
struct ClaimKey
{
  static constexpr std::size_t kMaxBytes = 128;

  /// 1 to 128 characters of [A-Za-z0-9_:-]. Never contains a '.', unlike every ExecutionKey.
  std::string m_text;

  auto operator<=>(const ClaimKey&) const = default;
};

using RequestKey = std::variant<ExecutionKey, ClaimKey>;

/// Parses the value of the header Jaylane-Key. A text with a '.' is either a scoped key or
/// malformed. It is never taken as a claim key, which could run the request a second time.
/// @param aText the header's value.
/// @return the key, or MalformedKey.
base::Result<RequestKey> ParseRequestKey(std::string_view aText);

} // namespace jaylane::policy
