#include "LoadObservationCodec.h"

#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

const base::MonotonicTime kNow{ 100s };

// Guards against observations that are lost or changed on the way, for each remainder of their
// length in Base64, and against a text that is longer than planned.
TEST(LoadObservationCodecTest, KeepsObservations)
{
  std::vector<policy::LoadObservation> observations;
  for (std::uint32_t i = 0; i < 5; ++i) {
    const auto decoded = DecodeObservations(EncodeObservations(observations, kNow), kNow + 1s);
    ASSERT_TRUE(decoded) << i;
    ASSERT_EQ(decoded->size(), observations.size());
    for (std::size_t j = 0; j < i; ++j) {
      EXPECT_EQ((*decoded)[j].m_upstream, observations[j].m_upstream);
      EXPECT_EQ((*decoded)[j].m_key, observations[j].m_key);
      EXPECT_EQ((*decoded)[j].m_running, std::min<int>(observations[j].m_running, 255));
      EXPECT_EQ((*decoded)[j].m_waiting, observations[j].m_waiting);
      EXPECT_EQ((*decoded)[j].m_seenAt, observations[j].m_seenAt + 1s);
    }
    observations.push_back({ 0xFFFFFFFF - i,
                             static_cast<std::uint16_t>(0xABCD + i),
                             static_cast<std::uint16_t>(253 + i),
                             7,
                             kNow - 300ms * i });
  }
  EXPECT_EQ(ObservationsThatFit(EncodeObservations(observations, kNow).size()), 5U);
}

// Texts of other VMs may be cut off or come from other versions. They must not be read in part.
TEST(LoadObservationCodecTest, RejectsUnreadableTexts)
{
  const std::string valid = EncodeObservations({ { 1, 2, 3, 4, kNow } }, kNow);
  for (const std::string& text : { valid.substr(1),
                                   valid + "A",
                                   valid.substr(1) + "!",
                                   valid.substr(1) + "=",
                                   valid.substr(1) + "\xff",
                                   std::string(20'000, 'A') }) {
    EXPECT_FALSE(DecodeObservations(text, kNow)) << text.substr(0, 20);
  }
}

} // namespace
} // namespace jaylane::gateway
