#pragma once

#include <cstddef>

namespace jaylane::peer {

inline constexpr const char* kRpcPath = "/rpc";
inline constexpr const char* kKeyHeader = "Jaylane-Peer-Key";
inline constexpr const char* kExchange = "exchange";
inline constexpr const char* kProbe = "probe";
inline constexpr const char* kBorrow = "borrow";
inline constexpr const char* kHandover = "handover";

/// Limit on the body of a request or response. The settings of a deployment have at most 1 MB,
/// which escaping as JSON text may double.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 4 } << 20;

} // namespace jaylane::peer
