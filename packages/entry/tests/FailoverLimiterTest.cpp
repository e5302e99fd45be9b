#include "FailoverLimiter.h"

#include "TestContext.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against failover that moves more than its cap (G1): in no window may the requests
// failed over exceed the cap's share of those received.
RC_GTEST_PROP(FailoverLimiter, StaysWithinTheCap, ())
{
  constexpr double kCap = 0.1;
  constexpr seconds kWindow{ 8 };
  TestContext test;
  FailoverLimiter limiter(test.m_context, kWindow, kCap);
  std::vector<std::pair<milliseconds, bool>> history;
  const auto steps = *rc::gen::inRange(200, 3000);
  milliseconds now{ 0 };
  for (int i = 0; i < steps; ++i) {
    const milliseconds step{ *rc::gen::inRange(0, 40) };
    test.m_clock.Advance(step);
    now += step;
    limiter.CountRequest();
    history.emplace_back(now, limiter.TryAcquire());
  }
  std::size_t first = 0;
  double moved = 0;
  for (std::size_t last = 0; last < history.size(); ++last) {
    moved += history[last].second;
    while (history[last].first - history[first].first > kWindow) {
      moved -= history[first++].second;
    }
    // The limiter weighs each request by the load of the window before it.
    const auto from = history[last].first - 2 * kWindow;
    const auto received = std::count_if(history.begin(),
                                        history.begin() + static_cast<std::ptrdiff_t>(last) + 1,
                                        [&](const auto& aEntry) { return aEntry.first >= from; });
    RC_ASSERT(moved <= kCap * static_cast<double>(received) + 1);
  }
}

// Guards against a cap that allows nothing although there is load to compare with.
TEST(FailoverLimiter, AllowsItsShareAfterOneWindow)
{
  TestContext test;
  FailoverLimiter limiter(test.m_context, seconds{ 1 }, 0.1);
  int allowed = 0;
  for (int i = 0; i < 4000; ++i) {
    test.m_clock.Advance(milliseconds{ 1 });
    limiter.CountRequest();
    allowed += limiter.TryAcquire();
  }
  EXPECT_GT(allowed, 200);
  EXPECT_LE(allowed, 400);
}

} // namespace
} // namespace jaylane::entry
