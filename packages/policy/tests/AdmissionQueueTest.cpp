#include "jaylane/policy/AdmissionQueue.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;

constexpr AdmissionQueue::ServiceTimes kService{ milliseconds{ 50 }, milliseconds{ 10 } };

// An entry must not be returned by Take() if it cannot finish before its deadline, and each offered
// entry must be answered exactly once.
RC_GTEST_PROP(AdmissionQueue,
              EveryEntryRunsInTimeOrIsDroppedOnce,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>>& aSteps, bool aLifo))
{
  const auto order = aLifo ? AdmissionQueue::Order::Lifo : AdmissionQueue::Order::Fifo;
  AdmissionQueue queue({ 16, order });
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  for (const auto& [kind, value] : aSteps) {
    now += milliseconds{ kind % 30 };
    for (const auto& late : queue.DropLate(kService, now)) {
      RC_ASSERT(late.m_deadline < now + kService.m_serviceTimeBound);
      ++answered;
    }
    const auto next = queue.NextDropTime(kService);
    RC_ASSERT(next.has_value() == (queue.size() > 0) && (!next || *next >= now));
    if (kind % 2 == 0) {
      const auto deadline = now + milliseconds{ value % 300 };
      answered += queue.Offer({ offered++, deadline }, kService, now) ? 0 : 1;
    } else if (const auto entry = queue.Take()) {
      RC_ASSERT(entry->m_deadline >= now + kService.m_serviceTimeBound);
      ++answered;
    }
    RC_ASSERT(queue.size() <= 16u);
  }
  RC_ASSERT(answered + queue.size() == offered);
}

// Offer() must include the entries ahead in the expected queueing time. Otherwise requests are
// admitted that cannot finish before their deadlines once they reach the head of the queue.
TEST(AdmissionQueue, CountsTheEntriesAhead)
{
  const base::MonotonicTime now{ std::chrono::hours{ 1 } };
  AdmissionQueue queue({ 100, AdmissionQueue::Order::Fifo });
  std::uint64_t id = 0;
  while (queue.Offer({ id, now + milliseconds{ 200 } }, kService, now)) {
    ++id;
  }
  EXPECT_EQ(id, 15u); // (200 ms - 50 ms) / 10 ms
  EXPECT_TRUE(queue.Cancel(3));
  EXPECT_FALSE(queue.Cancel(3));
  EXPECT_EQ(queue.Take()->m_id, 0u);
}

} // namespace
} // namespace jaylane::policy
