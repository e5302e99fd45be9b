#include "jaylane/policy/LoadObservations.h"

#include <gtest/gtest.h>
#include <set>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

// Guards against telling some observations again and again while others are never told, and against
// spending bytes on old ones or on two of the same upstream and key.
TEST(LoadObservationsTest, TellsEachInTurnTheNewestFirst)
{
  LoadObservations observations;
  const base::MonotonicTime start{ 100s };
  for (std::uint32_t i = 0; i < 10; ++i) {
    observations.Add({ i, 1, 1, 0, start + 10ms * i });
  }
  observations.Add({ 0, 1, 5, 0, start + 100ms });
  std::set<std::uint32_t> told;
  const auto first = observations.Next(4, start + 100ms);
  ASSERT_EQ(first.size(), 4U);
  EXPECT_EQ(first.front().m_running, 5);
  for (const auto& next :
       { first, observations.Next(4, start + 100ms), observations.Next(2, start + 100ms) }) {
    for (const LoadObservation& observation : next) {
      EXPECT_TRUE(told.insert(observation.m_upstream).second);
    }
  }
  EXPECT_EQ(observations.Next(20, start + 100ms).size(), 10U);
  EXPECT_EQ(observations.Next(20, start + 100ms + LoadObservations::kMaxAge).size(), 1U);
}

} // namespace
} // namespace jaylane::policy
