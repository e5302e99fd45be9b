#include "jaylane/policy/BlockIndex.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

std::uint32_t MaskOf(std::uint8_t aLength)
{
  return aLength == 0 ? 0 : ~std::uint32_t{ 0 } << (32 - aLength);
}

/// Reference implementation: compares all prefixes and returns the origin of the longest match.
std::optional<OriginIndex> FindByLinearScan(const std::vector<ClientBlock>& aBlocks,
                                            std::uint32_t aAddress)
{
  std::optional<ClientBlock> best;
  for (const auto& block : aBlocks) {
    if ((aAddress & MaskOf(block.m_length)) == block.m_address &&
        (!best || block.m_length > best->m_length)) {
      best = block;
    }
  }
  return best ? std::optional(best->m_origin) : std::nullopt;
}

/// Generates prefixes close together, so that many are nested or adjacent.
std::vector<ClientBlock> GenerateBlocks()
{
  const auto seeds = *rc::gen::container<std::vector<std::uint32_t>>(
    *rc::gen::inRange(0, 40), rc::gen::inRange<std::uint32_t>(0, 0x1000'0000));
  std::vector<ClientBlock> blocks;
  for (const auto seed : seeds) {
    const auto length = static_cast<std::uint8_t>(seed % 33);
    const auto address = (0x0a00'0000 | (seed >> 6 & 0x3f'ffff)) & MaskOf(length);
    const bool known = std::any_of(blocks.begin(), blocks.end(), [&](const ClientBlock& aBlock) {
      return aBlock.m_address == address && aBlock.m_length == length;
    });
    if (!known) {
      blocks.push_back({ address, length, static_cast<OriginIndex>(seed % 14) });
    }
  }
  return blocks;
}

// Guards against callers that get the origin of an enclosing or neighbouring block.
RC_GTEST_PROP(BlockIndex, FindsLongestPrefix, ())
{
  const auto blocks = GenerateBlocks();
  const auto index = BlockIndex::Make(blocks);
  RC_ASSERT(static_cast<bool>(index));
  std::vector<std::uint32_t> addresses{ 0, 0xffff'ffff, *rc::gen::arbitrary<std::uint32_t>() };
  for (const auto& block : blocks) {
    const auto last = block.m_address | ~MaskOf(block.m_length);
    addresses.insert(addresses.end(),
                     { block.m_address, block.m_address - 1, last, last + 1, last - last % 7 });
  }
  for (const auto address : addresses) {
    const auto found = index->Find(address);
    const auto expected = FindByLinearScan(blocks, address);
    RC_ASSERT(found.has_value() == expected.has_value());
    if (found) {
      RC_ASSERT(found->m_origin == *expected);
      RC_ASSERT(found->m_block <= address);
      RC_ASSERT(index->Find(found->m_block) == found);
    }
  }
}

// Guards against accepting malformed prefixes or one prefix with two origins.
TEST(BlockIndex, RejectsMalformedBlocks)
{
  EXPECT_FALSE(BlockIndex::Make({ { 0x0a00'0001, 24, 0 } }));
  EXPECT_FALSE(BlockIndex::Make({ { 0x0a00'0000, 33, 0 } }));
  EXPECT_FALSE(BlockIndex::Make({ { 0x0a00'0000, 24, 0xffff } }));
  EXPECT_FALSE(BlockIndex::Make({ { 0x0a00'0000, 24, 1 }, { 0x0a00'0000, 24, 2 } }));
  EXPECT_TRUE(BlockIndex::Make({ { 0x0a00'0000, 24, 1 }, { 0x0a00'0000, 24, 1 } }));
}

// Guards against an index too large for a node's 64 MB at the full size of 1.1 million blocks.
TEST(BlockIndex, NeedsAboutEightBytesABlock)
{
  std::vector<ClientBlock> blocks;
  for (std::uint32_t i = 0; i < 1'100'000; ++i) {
    blocks.push_back({ i * 14 << 8, 24, static_cast<OriginIndex>(i % 14) });
  }
  const auto index = BlockIndex::Make(blocks);
  EXPECT_LE(index->MemoryBytes(), blocks.size() * 9);
}

// Guards against accepting malformed caller addresses.
TEST(BlockIndex, ParsesAddresses)
{
  EXPECT_EQ(ParseIpv4("10.1.2.3"), 0x0a01'0203U);
  for (const char* text : { "", "10.1.2", "10.1.2.256", "::1", "10.1.2.3 " }) {
    EXPECT_EQ(ParseIpv4(text), std::nullopt) << text;
  }
}

} // namespace
} // namespace jaylane::policy
