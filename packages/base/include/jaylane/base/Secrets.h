#pragma once

#include <cstddef>
#include <string_view>

namespace jaylane::base {

/// Compares in a time that does not depend on where the texts differ, so that a secret cannot be
/// guessed from response times.
/// @param aGiven text from an untrusted source.
/// @param aSecret the secret.
/// @return whether the texts are equal.
inline bool EqualSecrets(std::string_view aGiven, std::string_view aSecret)
{
  unsigned difference = aGiven.size() == aSecret.size() ? 0 : 1;
  for (std::size_t i = 0; i < aGiven.size(); ++i) {
    const char other = aSecret.empty() ? '\0' : aSecret[i % aSecret.size()];
    difference |= static_cast<unsigned char>(aGiven[i]) ^ static_cast<unsigned char>(other);
  }
  return difference == 0;
}

} // namespace jaylane::base
