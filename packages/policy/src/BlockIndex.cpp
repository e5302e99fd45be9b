#include "jaylane/policy/BlockIndex.h"

#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>

namespace jaylane::policy {

namespace {

constexpr OriginIndex kNoOrigin = 0xffff;
constexpr std::uint32_t kPrefix16Count = 0x10000; // /16 prefixes of the address space
constexpr std::uint64_t kAddressCount = 0x1'0000'0000;

/// @return the address after the block's last one.
std::uint64_t EndOf(const ClientBlock& aBlock)
{
  return aBlock.m_address + (kAddressCount >> aBlock.m_length);
}

bool IsValid(const ClientBlock& aBlock)
{
  if (aBlock.m_length > 32 || aBlock.m_origin == kNoOrigin) {
    return false;
  }
  return (aBlock.m_address & ((kAddressCount >> aBlock.m_length) - 1)) == 0;
}

struct Segment
{
  std::uint32_t m_start;
  OriginIndex m_origin;
};

/// Collects disjoint segments in ascending order and cuts them at each /16.
class SegmentList
{
public:
  SegmentList() { m_segments.push_back({ 0, kNoOrigin }); }

  void Begin(std::uint64_t aStart, OriginIndex aOrigin)
  {
    CutAtPrefix16(aStart);
    if (aStart == kAddressCount) {
      return;
    }
    if (m_segments.back().m_start == aStart) {
      m_segments.back().m_origin = aOrigin;
    } else {
      m_segments.push_back({ static_cast<std::uint32_t>(aStart), aOrigin });
    }
  }

  const std::vector<Segment>& Finish()
  {
    CutAtPrefix16(kAddressCount - 1);
    return m_segments;
  }

private:
  void CutAtPrefix16(std::uint64_t aUntil)
  {
    for (std::uint64_t prefix16 = (m_segments.back().m_start >> 16) + 1;
         prefix16 < kPrefix16Count && (prefix16 << 16) <= aUntil;
         ++prefix16) {
      m_segments.push_back(
        { static_cast<std::uint32_t>(prefix16 << 16), m_segments.back().m_origin });
    }
  }

  std::vector<Segment> m_segments;
};

/// Turns blocks that may be nested into disjoint segments. Keeps a stack of the blocks that contain
/// the current address.
std::vector<Segment> Flatten(const std::vector<ClientBlock>& aSorted)
{
  SegmentList segments;
  std::vector<ClientBlock> enclosing;
  const auto close = [&] {
    const auto end = EndOf(enclosing.back());
    enclosing.pop_back();
    segments.Begin(end, enclosing.empty() ? kNoOrigin : enclosing.back().m_origin);
  };
  for (const auto& block : aSorted) {
    while (!enclosing.empty() && EndOf(enclosing.back()) <= block.m_address) {
      close();
    }
    segments.Begin(block.m_address, block.m_origin);
    enclosing.push_back(block);
  }
  while (!enclosing.empty()) {
    close();
  }
  return segments.Finish();
}

} // namespace

base::Result<BlockIndex> BlockIndex::Make(std::vector<ClientBlock> aBlocks)
{
  std::sort(
    aBlocks.begin(), aBlocks.end(), [](const ClientBlock& aLeft, const ClientBlock& aRight) {
      return std::pair(aLeft.m_address, aLeft.m_length) <
             std::pair(aRight.m_address, aRight.m_length);
    });
  for (std::size_t i = 0; i < aBlocks.size(); ++i) {
    if (!IsValid(aBlocks[i])) {
      return base::Error{ PolicyErrc::InvalidBlock, "malformed prefix" };
    }
    if (i > 0 && aBlocks[i - 1].m_address == aBlocks[i].m_address &&
        aBlocks[i - 1].m_length == aBlocks[i].m_length &&
        aBlocks[i - 1].m_origin != aBlocks[i].m_origin) {
      return base::Error{ PolicyErrc::InvalidBlock, "prefix with two origins" };
    }
  }
  const auto segments = Flatten(aBlocks);
  BlockIndex index;
  index.m_firstSegments.reserve(kPrefix16Count + 1);
  index.m_starts.reserve(segments.size());
  index.m_origins.reserve(segments.size());
  for (const auto& segment : segments) {
    if ((segment.m_start & 0xffff) == 0) {
      index.m_firstSegments.push_back(static_cast<std::uint32_t>(index.m_starts.size()));
    }
    index.m_starts.push_back(static_cast<std::uint16_t>(segment.m_start));
    index.m_origins.push_back(segment.m_origin);
  }
  index.m_firstSegments.push_back(static_cast<std::uint32_t>(index.m_starts.size()));
  assert(index.m_firstSegments.size() == kPrefix16Count + 1);
  return index;
}

std::optional<BlockMatch> BlockIndex::Find(std::uint32_t aAddress) const
{
  const auto prefix16 = aAddress >> 16;
  const auto first = m_starts.begin() + m_firstSegments[prefix16];
  const auto last = m_starts.begin() + m_firstSegments[prefix16 + 1];
  // A segment starts at the first address of each /16.
  const auto found = std::upper_bound(first, last, static_cast<std::uint16_t>(aAddress)) - 1;
  const auto origin = m_origins[found - m_starts.begin()];
  if (origin == kNoOrigin) {
    return std::nullopt;
  }
  return BlockMatch{ (prefix16 << 16) | *found, origin };
}

std::size_t BlockIndex::MemoryBytes() const
{
  return m_firstSegments.capacity() * sizeof(m_firstSegments[0]) +
         m_starts.capacity() * sizeof(m_starts[0]) + m_origins.capacity() * sizeof(m_origins[0]);
}

std::optional<std::uint32_t> ParseIpv4(std::string_view aText)
{
  in_addr address{};
  if (inet_pton(AF_INET, std::string(aText).c_str(), &address) != 1) {
    return std::nullopt;
  }
  return ntohl(address.s_addr);
}

} // namespace jaylane::policy
