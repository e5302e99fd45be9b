#include "BodyMemoryBudget.h"

#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

class BodyMemoryBudgetTest : public testing::Test
{
protected:
  /// @return a reservation that may be evicted; it then counts in m_evicted.
  std::shared_ptr<BodyMemoryBudget::Reservation> Evictable(std::uint64_t aBytes)
  {
    auto reservation = m_budget.MakeReservation();
    EXPECT_TRUE(reservation->GrowTo(aBytes));
    reservation->SetEvictable([this] { ++m_evicted; });
    return reservation;
  }

  BodyMemoryBudget m_budget{ 100 };
  int m_evicted = 0;
};

// Guards against bodies that no longer arrive and keep others out because they are small.
TEST_F(BodyMemoryBudgetTest, StalledBodiesMakeRoomForLargerOnes)
{
  const auto first = Evictable(30);
  const auto second = Evictable(60);
  const auto body = m_budget.MakeReservation();
  EXPECT_FALSE(body->GrowTo(70));
  EXPECT_FALSE(body->EvictStalledFor(70));
  second->SetStalled(true);
  EXPECT_FALSE(body->EvictStalledFor(80)) << "it would not suffice";
  EXPECT_EQ(m_evicted, 0);
  EXPECT_TRUE(body->GrowTo(70));
  EXPECT_EQ(m_evicted, 1);
  EXPECT_EQ(m_budget.Used(), 100U);
}

// Guards against a body that goes on and still counts as stalled.
TEST_F(BodyMemoryBudgetTest, ABodyThatGrowsHasNotStalled)
{
  const auto first = Evictable(30);
  first->SetStalled(true);
  EXPECT_TRUE(first->GrowTo(40));
  const auto body = m_budget.MakeReservation();
  EXPECT_FALSE(body->GrowTo(70));
  EXPECT_EQ(m_evicted, 0);
}

} // namespace
} // namespace jaylane::gateway
