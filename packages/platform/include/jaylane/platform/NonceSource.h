#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace jaylane::platform {

/// Returns a string that differs from those of all other calls on all VMs. Must be thread safe.
using NonceSource = std::function<std::string()>;

/// @return source of random 128-bit numbers in hexadecimal, seeded by the operating system.
NonceSource MakeNonceSource();

/// For tests.
/// @param aSeed sources with the same seed return the same sequence.
NonceSource MakeNonceSource(std::uint64_t aSeed);

} // namespace jaylane::platform
