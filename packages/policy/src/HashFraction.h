#pragma once

#include <cstdint>
#include <xxhash.h>

namespace jaylane::policy::detail {

/// @param aSeed seed of the hash; fractions with different seeds are independent.
/// @return the value hashed to the open interval from 0 to 1.
inline double HashFraction(std::uint64_t aValue, std::uint64_t aSeed)
{
  constexpr double kHashRange = 18446744073709551616.0;
  const std::uint64_t hash = XXH64(&aValue, sizeof aValue, aSeed);
  return (static_cast<double>(hash) + 1) / (kHashRange + 2);
}

} // namespace jaylane::policy::detail
