#include "jaylane/policy/BlockIndex.h"

#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>

namespace jaylane::policy {

namespace {

constexpr OriginIndex kNoOrigin = 0xffff;
constexpr std::uint32_t kSlotCount = 0x10000;
constexpr std::uint64_t kAddressEnd = 0x1'0000'0000;

std::uint64_t EndOf(const ClientBlock& aBlock)
{
  return aBlock.m_address + (kAddressEnd >> aBlock.m_length);
}

bool IsValid(const ClientBlock& aBlock)
{
  if (aBlock.m_length > 32 || aBlock.m_origin == kNoOrigin) {
    return false;
  }
  return (aBlock.m_address & ((kAddressEnd >> aBlock.m_length) - 1)) == 0;
}

struct Segment
{
  std::uint32_t m_start;
  OriginIndex m_origin;
};

/// Collects disjoint segments in order and cuts them at each /16.
class SegmentList
{
public:
  SegmentList() { m_segments.push_back({ 0, kNoOrigin }); }

  void Begin(std::uint64_t aStart, OriginIndex aOrigin)
  {
    FillSlots(aStart);
    if (aStart == kAddressEnd) {
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
    FillSlots(kAddressEnd - 1);
    return m_segments;
  }

private:
  void FillSlots(std::uint64_t aUntil)
  {
    for (std::uint64_t slot = (m_segments.back().m_start >> 16) + 1;
         slot < kSlotCount && (slot << 16) <= aUntil;
         ++slot) {
      m_segments.push_back({ static_cast<std::uint32_t>(slot << 16), m_segments.back().m_origin });
    }
  }

  std::vector<Segment> m_segments;
};

/// Nested blocks are handled as a stack of the blocks that contain the current address.
std::vector<Segment> Flatten(const std::vector<ClientBlock>& aSorted)
{
  SegmentList segments;
  std::vector<ClientBlock> open;
  const auto close = [&] {
    const auto end = EndOf(open.back());
    open.pop_back();
    segments.Begin(end, open.empty() ? kNoOrigin : open.back().m_origin);
  };
  for (const auto& block : aSorted) {
    while (!open.empty() && EndOf(open.back()) <= block.m_address) {
      close();
    }
    segments.Begin(block.m_address, block.m_origin);
    open.push_back(block);
  }
  while (!open.empty()) {
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
  index.m_slots.reserve(kSlotCount + 1);
  index.m_starts.reserve(segments.size());
  index.m_origins.reserve(segments.size());
  for (const auto& segment : segments) {
    if ((segment.m_start & 0xffff) == 0) {
      index.m_slots.push_back(static_cast<std::uint32_t>(index.m_starts.size()));
    }
    index.m_starts.push_back(static_cast<std::uint16_t>(segment.m_start));
    index.m_origins.push_back(segment.m_origin);
  }
  index.m_slots.push_back(static_cast<std::uint32_t>(index.m_starts.size()));
  assert(index.m_slots.size() == kSlotCount + 1);
  return index;
}

std::optional<BlockMatch> BlockIndex::Find(std::uint32_t aAddress) const
{
  const auto slot = aAddress >> 16;
  const auto first = m_starts.begin() + m_slots[slot];
  const auto last = m_starts.begin() + m_slots[slot + 1];
  // Each slot has a segment that starts at its first address.
  const auto found = std::upper_bound(first, last, static_cast<std::uint16_t>(aAddress)) - 1;
  const auto origin = m_origins[found - m_starts.begin()];
  if (origin == kNoOrigin) {
    return std::nullopt;
  }
  return BlockMatch{ (slot << 16) | *found, origin };
}

std::size_t BlockIndex::MemoryBytes() const
{
  return m_slots.capacity() * sizeof(m_slots[0]) + m_starts.capacity() * sizeof(m_starts[0]) +
         m_origins.capacity() * sizeof(m_origins[0]);
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
