#pragma once

#include <cstddef>

namespace jaylane::peer {

inline constexpr const char* kRpcPath = "/rpc";
inline constexpr const char* kKeyHeader = "Jaylane-Peer-Key";
inline constexpr const char* kExchange = "exchange";
inline constexpr const char* kProbe = "probe";
inline constexpr const char* kBorrow = "borrow";
inline constexpr const char* kHandover = "handover";

/// The settings of a deployment have at most 1 MB; JSON text may take twice that.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 4 } << 20;

} // namespace jaylane::peer
