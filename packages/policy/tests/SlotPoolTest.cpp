#include "jaylane/policy/SlotPool.h"

#include "jaylane/policy/SharePlans.h"
#include "jaylane/policy/SlotBorrower.h"
#include "jaylane/policy/SlotError.h"

#include <gtest/gtest.h>

#include <numeric>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SlotPoolTest : public testing::Test
{
protected:
  SlotPoolTest()
    : m_upstream(m_pool.SetUpstream("upstream", 4))
  {
    m_pool.ApplyTable(m_table, 5, m_now);
    m_units.resize(m_table.Units());
    std::iota(m_units.begin(), m_units.end(), 0u);
  }

  std::uint32_t Free() const { return m_pool.FreeSlots(m_upstream, m_now, seconds{ 1 }); }

  base::MonotonicTime m_now{ std::chrono::hours{ 1 } };
  ShareTable m_table = *MakeInitialShareTable("a", 2);
  SlotPool m_pool{ "a", { seconds{ 60 } } };
  UpstreamIndex m_upstream;
  std::vector<std::uint32_t> m_units;
};

// Guards against the use of units that an update may have transferred, when its response was lost
// and a read still shows the old version.
TEST_F(SlotPoolTest, UnitsOfALostUpdateStayUnusedUntilANewerTable)
{
  m_pool.BeginDrain(m_units);
  ASSERT_TRUE(m_pool.BeginDonation(m_units, 5, m_now));
  m_pool.CancelDrain(m_units);
  EXPECT_FALSE(m_pool.ApplyTable(m_table, 5, m_now));
  EXPECT_EQ(Free(), 0u);
  EXPECT_TRUE(m_pool.ApplyTable(m_table, 6, m_now));
  EXPECT_EQ(Free(), 4u);
}

// Guards against a donation while an attempt or a lease still uses the unit.
TEST_F(SlotPoolTest, UnitsInUseCannotBeDonated)
{
  const auto ticket = m_pool.Acquire(m_upstream, m_now, seconds{ 1 });
  ASSERT_TRUE(m_pool.Lend(m_upstream, m_now, seconds{ 2 }));
  m_pool.BeginDrain(m_units);
  EXPECT_EQ(Free(), 0u);
  EXPECT_FALSE(m_pool.IsDrained(m_units, m_now));
  m_pool.Release(*ticket);
  const auto status = m_pool.BeginDonation(m_units, 5, m_now);
  ASSERT_FALSE(status);
  EXPECT_EQ(status.GetError().m_code, make_error_code(SlotErrc::NotDrained));
  EXPECT_TRUE(m_pool.IsDrained(m_units, m_now + seconds{ 2 }));
  EXPECT_FALSE(m_pool.BeginDonation(m_units, 4, m_now + seconds{ 2 }));
}

// Guards against donating only one half of a drained unit after the units were doubled.
TEST_F(SlotPoolTest, DoublingCancelsADrain)
{
  m_pool.BeginDrain(m_units);
  m_table.Double();
  m_pool.ApplyTable(m_table, 6, m_now);
  EXPECT_FALSE(m_pool.IsDrained(m_units, m_now));
  EXPECT_EQ(Free(), 4u);
}

// Guards against using reclaimed slots that attempts and leases of a crashed VM still occupy.
TEST_F(SlotPoolTest, ReclaimedUnitsWaitForTheQuarantine)
{
  ShareTable other = *MakeInitialShareTable("b", 2);
  m_pool.ApplyTable(other, 6, m_now);
  EXPECT_EQ(Free(), 0u);
  const VmIncarnation gone[] = { "b" };
  const VmIncarnation running[] = { "a" };
  const ShareTable reclaimed = *PlanReclaim(other, 6, gone, running);
  m_pool.ApplyTable(reclaimed, 7, m_now);
  EXPECT_EQ(Free(), 0u);
  m_now += seconds{ 30 };
  m_pool.ApplyTable(reclaimed, 8, m_now); // the same reclaim does not restart the quarantine
  m_now += seconds{ 30 };
  EXPECT_EQ(Free(), 4u);
}

// Guards against a borrower that uses a slot after the lease has ended at the lender, and against
// an attempt dispatched too late after a pause.
TEST_F(SlotPoolTest, BorrowedSlotEndsBeforeTheLendersLease)
{
  SlotPool pool("b", {});
  const auto upstream = pool.SetUpstream("upstream", 4);
  pool.ApplyTable(m_table, 5, m_now);
  SlotLender lender("a", m_pool, {});
  SlotBorrower borrower("b", pool, {});
  const auto request = borrower.MaybeRequestSlots(upstream, 1, m_now);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->m_lender, "a");
  const auto grant = lender.OnRequest(request->m_request, 0, m_now + milliseconds{ 2 });
  ASSERT_TRUE(grant);
  EXPECT_EQ(borrower.OnGrant(*grant, m_now + milliseconds{ 4 }), 1u);
  EXPECT_EQ(borrower.OnGrant(*grant, m_now + milliseconds{ 4 }), 0u); // duplicate
  EXPECT_EQ(Free(), 3u);

  const auto end = m_now + SlotBorrower::Options{}.m_duration;
  EXPECT_FALSE(pool.Acquire(upstream, end - seconds{ 1 }, seconds{ 1 }));
  const auto ticket = pool.Acquire(upstream, m_now + milliseconds{ 4 }, seconds{ 1 });
  ASSERT_TRUE(ticket);
  EXPECT_TRUE(pool.MayDispatch(*ticket, m_now + milliseconds{ 5 }, seconds{ 1 }));
  EXPECT_FALSE(pool.MayDispatch(*ticket, end - seconds{ 1 }, seconds{ 1 }));
  EXPECT_TRUE(borrower.ReturnUnused(upstream, 0, m_now).empty()); // still in flight
  pool.Release(*ticket);
  const auto returns = borrower.ReturnUnused(upstream, 0, m_now);
  ASSERT_EQ(returns.size(), 1u);
  lender.OnReturn(returns.front());
  lender.OnReturn(returns.front()); // duplicate
  EXPECT_EQ(Free(), 4u);
}

// Guards against a rate of slot requests that grows with the number of upstreams.
TEST_F(SlotPoolTest, RequestsAreSpacedOverAllUpstreams)
{
  SlotPool pool("b", {});
  SlotBorrower borrower("b", pool, {});
  for (int i = 0; i < 50; ++i) {
    pool.SetUpstream("upstream-" + std::to_string(i), 4);
  }
  pool.ApplyTable(m_table, 5, m_now);
  int requests = 0;
  for (int step = 0; step < 1000; ++step) {
    m_now += milliseconds{ 1 };
    for (UpstreamIndex upstream = 0; upstream < 50; ++upstream) {
      requests += borrower.MaybeRequestSlots(upstream, 3, m_now) ? 1 : 0;
    }
  }
  EXPECT_EQ(requests, 50);
}

// Guards against a VM that lends its last free slot to a borrower with a single waiting request,
// and against slots that move back and forth between VMs with equal queues.
TEST_F(SlotPoolTest, LenderKeepsItsReserve)
{
  SlotLender lender("a", m_pool, {});
  SlotRequest request{ 1, "b", "upstream", 1, 4, seconds{ 10 } };
  EXPECT_EQ(lender.OnRequest(request, 0, m_now)->m_leases.size(), 3u);
  request.m_id = 2;
  EXPECT_FALSE(lender.OnRequest(request, 0, m_now));
  request.m_waiting = 5;
  EXPECT_FALSE(lender.OnRequest(request, 5, m_now));
  EXPECT_FALSE(lender.OnFree(m_upstream, 4, m_now));
  EXPECT_FALSE(lender.ShouldReturn("b", m_upstream, 3, m_now));
  EXPECT_TRUE(lender.ShouldReturn("b", m_upstream, 2, m_now));
  EXPECT_TRUE(lender.OnFree(m_upstream, 2, m_now));
  EXPECT_FALSE(lender.OnFree(m_upstream, 0, m_now)); // each request is answered once
}

} // namespace
} // namespace jaylane::policy
