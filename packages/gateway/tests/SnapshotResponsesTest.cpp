#include "SnapshotResponses.h"

#include "Compression.h"

#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

constexpr bool kPlain = false;
constexpr bool kGzip = true;

/// Makes texts of one size.
class SnapshotResponsesTest : public testing::Test
{
protected:
  InfoResponse Get(policy::StoreRevision aAfter, bool aAcceptsGzip)
  {
    return m_responses.Get(aAfter, aAcceptsGzip, [this] { return m_text; });
  }

  SnapshotResponses m_responses;
  std::string m_text = std::string(SnapshotResponses::kMaxBytes / 4, 'a');
};

// Guards against a peer of an earlier version that is sent a body that it cannot read, and against
// the work to compress bodies that fit into a packet.
TEST_F(SnapshotResponsesTest, CompressesLargeBodiesForPeersThatAcceptIt)
{
  const InfoResponse compressed = Get(7, kGzip);
  EXPECT_EQ(compressed.m_contentEncoding, kGzipEncoding);
  EXPECT_EQ(*DecompressGzip(*compressed.m_body, m_text.size()), m_text);
  const InfoResponse plain = Get(7, kPlain);
  EXPECT_EQ(plain.m_contentEncoding, "");
  EXPECT_EQ(*plain.m_body, m_text);
  m_text.resize(SnapshotResponses::kMinCompressedBytes - 1);
  EXPECT_EQ(Get(8, kGzip).m_contentEncoding, "");
  EXPECT_EQ(*Get(8, kGzip).m_body, m_text);
}

// Guards against memory that grows with the number of revisions that peers ask for.
TEST_F(SnapshotResponsesTest, KeepsALimitedNumberOfResponsesAndBytes)
{
  std::vector<std::weak_ptr<const std::string>> bodies;
  const auto kept = [&bodies] {
    return std::ranges::count_if(bodies, [](const auto& aBody) { return !aBody.expired(); });
  };
  for (std::uint64_t revision = 1; revision <= 20; ++revision) {
    bodies.push_back(Get(revision, kPlain).m_body);
  }
  EXPECT_EQ(kept(), 4) << "a quarter of the bytes each";
  m_text = "a";
  for (std::uint64_t revision = 21; revision <= 40; ++revision) {
    bodies.push_back(Get(revision, kPlain).m_body);
  }
  EXPECT_EQ(kept(), static_cast<long>(SnapshotResponses::kMaxResponses));
  EXPECT_FALSE(bodies.back().expired()) << "peers mostly ask for the newest changes";
  m_text = std::string(SnapshotResponses::kMaxBytes + 1, 'a');
  bodies.push_back(Get(50, kPlain).m_body);
  EXPECT_TRUE(bodies.back().expired());
  m_responses.Clear();
  EXPECT_EQ(kept(), 0);
}

} // namespace
} // namespace jaylane::gateway
