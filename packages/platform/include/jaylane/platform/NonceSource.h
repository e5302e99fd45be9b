#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace jaylane::platform {

/// Returns a text that no other call in the fleet returns. Must be thread safe.
using NonceSource = std::function<std::string()>;

/// @return source of 128 random bits in hex, seeded from the operating system.
NonceSource MakeNonceSource();

/// @param aSeed makes the sequence repeat; for tests.
NonceSource MakeNonceSource(std::uint64_t aSeed);

} // namespace jaylane::platform
