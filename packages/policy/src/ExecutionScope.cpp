#include "jaylane/policy/ExecutionScope.h"

#include "jaylane/policy/ExecutionError.h"

#include <charconv>
#include <fmt/format.h>

namespace jaylane::policy {

namespace {

constexpr std::size_t kHexDigits = 16; // of one 64-bit half of an incarnation

bool ParseHex(std::string_view aText, std::uint64_t& aValue)
{
  const char* const last = aText.data() + aText.size();
  return std::from_chars(aText.data(), last, aValue, 16).ptr == last;
}

} // namespace

std::string ExecutionScope::ToString() const
{
  return fmt::format("{:016x}{:016x}-{}", m_incarnation.m_high, m_incarnation.m_low, m_epoch);
}

base::Result<ExecutionScope> ExecutionScope::Parse(std::string_view aText)
{
  const base::Error malformed{ ExecutionErrc::MalformedScope, {} };
  if (aText.size() <= 2 * kHexDigits + 1) {
    return malformed;
  }
  ExecutionScope scope;
  const auto epoch = aText.substr(2 * kHexDigits + 1);
  const char* const last = epoch.data() + epoch.size();
  const auto end = std::from_chars(epoch.data(), last, scope.m_epoch);
  if (!ParseHex(aText.substr(0, kHexDigits), scope.m_incarnation.m_high) ||
      !ParseHex(aText.substr(kHexDigits, kHexDigits), scope.m_incarnation.m_low) ||
      end.ec != std::errc{} || end.ptr != last) {
    return malformed;
  }
  // Refuses upper-case digits and leading zeros of the epoch.
  if (scope.ToString() != aText) {
    return malformed;
  }
  return scope;
}

} // namespace jaylane::policy
