#pragma once

#include "jaylane/policy/Fleet.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace jaylane::policy {

namespace detail {

/// Hash of an API key. The seed is random and differs between processes, so that callers cannot
/// choose keys that collide.
class ApiKeyHash
{
public:
  ApiKeyHash();
  std::size_t operator()(std::string_view aKey) const;

private:
  std::uint64_t m_seed;
};

} // namespace detail

/// Finds the team that an API key belongs to, in constant time.
/// Load pattern: each request carries a key, and a configuration has up to 10,000 of them.
class ApiKeyTable
{
public:
  /// @param aConfiguration must outlive the table, and its teams must not be changed.
  explicit ApiKeyTable(const Configuration& aConfiguration);

  /// @param aKey an API key as sent by a caller; its case matters.
  /// @return the team of the key, or null if no team has it.
  const Team* Find(std::string_view aKey) const;

private:
  /// The keys are views of Team::m_apiKeys.
  std::unordered_map<std::string_view, const Team*, detail::ApiKeyHash> m_teamByKey;
};

} // namespace jaylane::policy
