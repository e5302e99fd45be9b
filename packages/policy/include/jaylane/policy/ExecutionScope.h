#pragma once

#include "jaylane/base/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jaylane::policy {

/// Identity of one run of a VM's process: 128 random bits.
struct Incarnation
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  auto operator<=>(const Incarnation&) const = default;
};

/// Restricts where and when keys may run: at one incarnation, during one of its epochs.
struct ExecutionScope
{
  Incarnation m_incarnation;
  std::uint32_t m_epoch = 0;

  auto operator<=>(const ExecutionScope&) const = default;

  /// @return "<incarnation, 32 lower-case hex digits>-<epoch, decimal>".
  std::string ToString() const;

  /// @param aText exactly the form written by ToString(). Other spellings are refused, so that each
  ///   scope has a single text.
  /// @return the scope, or MalformedScope.
  static base::Result<ExecutionScope> Parse(std::string_view aText);
};

} // namespace jaylane::policy
