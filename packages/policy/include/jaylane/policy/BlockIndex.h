#pragma once

#include "jaylane/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// Index of an origin region in the list of origins.
using OriginIndex = std::uint16_t;

/// An IPv4 prefix whose callers belong to an origin region.
struct ClientBlock
{
  std::uint32_t m_address = 0; ///< Host byte order; bits beyond the length are zero.
  std::uint8_t m_length = 0;
  OriginIndex m_origin = 0;
};

/// Result of a lookup in BlockIndex.
struct BlockMatch
{
  std::uint32_t m_block = 0; ///< Key of the block, equal for all its addresses.
  OriginIndex m_origin = 0;

  bool operator==(const BlockMatch&) const = default;
};

/// Maps IPv4 addresses to origin regions by longest prefix. Immutable.
///
/// Blocks are flattened into disjoint segments that never cross a /16, so that only the low 16 bits
/// of a segment's start are stored: 4 bytes per segment, at most two segments per disjoint block.
class BlockIndex
{
public:
  /// @param aBlocks prefixes in any order; nested ones are allowed.
  /// @return the index, or InvalidBlock if a prefix has bits beyond its length, a length above 32,
  ///   the origin 65535, or two origins.
  static base::Result<BlockIndex> Make(std::vector<ClientBlock> aBlocks);

  /// @param aAddress IPv4 address in host byte order.
  /// @return the block of the address, or nothing if no prefix contains it.
  std::optional<BlockMatch> Find(std::uint32_t aAddress) const;

  /// @return memory held, in bytes.
  std::size_t MemoryBytes() const;

private:
  BlockIndex() = default;

  /// Index of the first segment of each /16, then the end.
  std::vector<std::uint32_t> m_firstSegments;
  std::vector<std::uint16_t> m_starts; ///< Low 16 bits of each segment's first address.
  std::vector<OriginIndex> m_origins;  ///< Origin of each segment.
};

/// @param aText dotted quad.
/// @return the address in host byte order, or nothing if the text is malformed.
std::optional<std::uint32_t> ParseIpv4(std::string_view aText);

} // namespace jaylane::policy
