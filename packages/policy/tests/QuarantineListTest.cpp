#include "jaylane/policy/QuarantineList.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

RequestFingerprint Print(std::uint64_t aNumber)
{
  return RequestFingerprint::Of("s", "GET", "/" + std::to_string(aNumber), 0);
}

std::vector<Strike> Sorted(std::vector<Strike> aStrikes)
{
  std::sort(aStrikes.begin(), aStrikes.end(), [](const Strike& aLeft, const Strike& aRight) {
    return aLeft.m_id < aRight.m_id;
  });
  return aStrikes;
}

// Three lists after generated losses, completions and merges at generated times.
struct Lists
{
  Lists()
  {
    const auto steps = *rc::gen::arbitrary<std::vector<std::tuple<std::uint8_t, std::uint8_t>>>();
    for (const auto& [what, where] : steps) {
      auto& list = m_lists[where % 3];
      if (what % 8 == 0) {
        list.RecordCompleted(Print(what / 8 % 5), m_now);
      } else if (what % 8 == 1) {
        list.Merge(m_lists[where / 3 % 3].Strikes(m_now), m_now);
      } else {
        list.RecordLoss(Print(what % 13), where % 7, m_now);
      }
      m_now += std::chrono::milliseconds{ where };
    }
  }

  base::MonotonicTime m_now{ 1h };
  std::array<QuarantineList, 3> m_lists{ QuarantineList({}, 1),
                                         QuarantineList({}, 2),
                                         QuarantineList({}, 3) };
};

// Guards against VMs that disagree forever after lost, repeated or reordered messages.
RC_GTEST_PROP(QuarantineList, MergeIsCommutativeAndIdempotent, ())
{
  Lists world;
  auto& [a, b, c] = world.m_lists;
  const auto fromA = a.Strikes(world.m_now);
  const auto fromB = b.Strikes(world.m_now);
  const auto fromC = c.Strikes(world.m_now);
  a.Merge(fromB, world.m_now);
  a.Merge(fromC, world.m_now);
  b.Merge(fromC, world.m_now);
  b.Merge(fromC, world.m_now);
  b.Merge(fromA, world.m_now);
  b.Merge(fromB, world.m_now);
  RC_ASSERT(Sorted(a.Strikes(world.m_now)) == Sorted(b.Strikes(world.m_now)));
  for (std::uint64_t print = 0; print < 13; ++print) {
    RC_ASSERT(a.IsQuarantined(Print(print), world.m_now) ==
              b.IsQuarantined(Print(print), world.m_now));
  }
}

// Guards against peers that keep a quarantine alive by telling it to each other.
RC_GTEST_PROP(QuarantineList, StrikesExpireAmongPeers, (const std::vector<std::uint16_t>& aDelays))
{
  QuarantineOptions options;
  options.m_lifetime = 10s;
  std::array<QuarantineList, 2> lists{ QuarantineList(options, 1), QuarantineList(options, 2) };
  base::MonotonicTime now{ 1h };
  lists[0].RecordLoss(Print(1), 1, now);
  lists[0].RecordLoss(Print(1), 2, now);
  const auto end = now + 2 * options.m_lifetime;
  std::size_t sender = 0;
  for (const auto delay : aDelays) {
    const auto message = lists[sender].Strikes(now);
    now += std::chrono::milliseconds{ delay % 2000 };
    sender = 1 - sender;
    lists[sender].Merge(message, now);
    if (now >= end) {
      RC_ASSERT(!lists[0].IsQuarantined(Print(1), now));
    }
  }
  lists[0].Merge({}, end + 2 * options.m_lifetime);
  RC_ASSERT(lists[0].size() == 0u);
}

// Guards against quarantine without two different deaths.
RC_GTEST_PROP(QuarantineList, QuarantineNeedsTwoDeaths, ())
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  std::map<std::uint64_t, std::set<std::uint64_t>> upstreams;
  for (const auto loss : *rc::gen::arbitrary<std::vector<std::uint8_t>>()) {
    const std::uint64_t print = loss % 16;
    list.RecordLoss(Print(print), loss / 16, now);
    upstreams[print].insert(loss / 16);
  }
  for (const auto& [print, deaths] : upstreams) {
    RC_ASSERT(!list.IsQuarantined(Print(print), now) || deaths.size() >= 2);
    RC_ASSERT(list.IsQuarantined(Print(print), now) || deaths.size() < 4);
  }
}

// Guards against two copies of a request lost in one crash counting as two deaths, and against
// a restarted upstream hiding the second death.
TEST(QuarantineList, CountsADeathOnce)
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  list.RecordLoss(Print(1), 7, now);
  list.RecordLoss(Print(1), 7, now + 10ms);
  EXPECT_TRUE(list.IsSuspect(Print(1), now));
  EXPECT_FALSE(list.IsQuarantined(Print(1), now));
  now += 5s;
  list.RecordLoss(Print(1), 7, now);
  EXPECT_TRUE(list.IsQuarantined(Print(1), now));
  EXPECT_FALSE(list.IsQuarantined(Print(1), now + QuarantineOptions{}.m_lifetime));
}

// Innocent requests quarantined when 20 upstreams with 3 requests each die within 1.5 s and
// every request is retried once, on an upstream that dies next.
int QuarantinedByPowerLoss(const QuarantineOptions& aOptions)
{
  QuarantineList list(aOptions, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t upstream = 0; upstream < 20; ++upstream) {
    for (std::uint64_t request = 0; request < 3; ++request) {
      list.RecordLoss(Print(3 * upstream + request), upstream, now);
      list.RecordLoss(Print(3 * (upstream + 19) % 60 + request), upstream, now);
    }
    now += 75ms;
  }
  int quarantined = 0;
  for (std::uint64_t print = 0; print < 60; ++print) {
    quarantined += list.IsQuarantined(Print(print), now) ? 1 : 0;
  }
  return quarantined;
}

// Guards against a power loss putting all requests of that moment into quarantine.
TEST(QuarantineList, MassFailureConvictsNobody)
{
  EXPECT_EQ(QuarantinedByPowerLoss({}), 0);
  QuarantineOptions withoutRule;
  withoutRule.m_massUpstreams = 1000;
  EXPECT_GT(QuarantinedByPowerLoss(withoutRule), 50);
}

// Guards against one crashing request that takes down a service: resent without end through
// all VMs, beside innocent requests, with an exchange between the VMs every second.
RC_GTEST_PROP(QuarantineList, ACrashingRequestCostsFewUpstreams, (std::uint32_t aSeed))
{
  constexpr std::size_t kVms = 4;
  std::vector<QuarantineList> lists;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    lists.emplace_back(QuarantineOptions{}, vm);
  }
  base::MonotonicTime now{ 1h };
  std::uint64_t deaths = 0;
  const auto crash = Print(0);
  for (std::uint64_t tick = 0; tick < 600; ++tick, now += 100ms) {
    const std::size_t vm = (aSeed + tick * 7) % kVms;
    if (!lists[vm].IsQuarantined(crash, now)) {
      const std::uint64_t upstream = (aSeed + tick * 13) % 20;
      ++deaths;
      lists[vm].RecordLoss(crash, upstream, now);
      for (std::uint64_t other = 1; other < 4; ++other) {
        lists[vm].RecordLoss(Print(aSeed + 3 * tick + other), upstream, now);
      }
    }
    if (tick % 10 == 9) {
      const auto from = (aSeed + tick) % kVms;
      lists[(from + 1 + tick % 3) % kVms].Merge(lists[from].Strikes(now), now);
    }
  }
  // Without the exchange each VM convicts alone: two deaths, or four during a mass failure.
  RC_ASSERT(deaths <= kVms * QuarantineOptions{}.m_totalCrashThreshold);
}

// Guards against innocent requests that shared an upstream with a crashing one being convicted
// with it: retried apart from each other, as IsSuspect() demands, only one meets a second death.
TEST(QuarantineList, RetriesApartClearInnocentRequests)
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t request = 0; request < 4; ++request) {
    list.RecordLoss(Print(request), 1, now);
  }
  for (std::uint64_t request = 1; request < 4; ++request) {
    EXPECT_TRUE(list.IsSuspect(Print(request), now));
    list.RecordCompleted(Print(request), now += 100ms);
  }
  list.RecordLoss(Print(0), 2, now);
  EXPECT_TRUE(list.IsQuarantined(Print(0), now));
  // The next crash beside an unrelated request starts from zero.
  list.RecordLoss(Print(1), 3, now += 1min);
  EXPECT_FALSE(list.IsQuarantined(Print(1), now));
}

// Guards against a request that crashes some upstreams and completes at others.
TEST(QuarantineList, CompletionsDiscountOnlyAFewDeaths)
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t death = 0; death < 4; ++death) {
    EXPECT_FALSE(list.IsQuarantined(Print(1), now)) << death;
    list.RecordLoss(Print(1), death, now += 5s);
    list.RecordCompleted(Print(1), now += 5s);
  }
  EXPECT_TRUE(list.IsQuarantined(Print(1), now));
}

// Guards against unbounded memory.
TEST(QuarantineList, KeepsTheNewestWhenFull)
{
  QuarantineOptions options;
  options.m_maxStrikes = 10;
  QuarantineList list(options, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t loss = 0; loss < 100; ++loss) {
    list.RecordLoss(Print(loss), loss, now += 1s);
  }
  EXPECT_EQ(list.size(), 10u);
  EXPECT_TRUE(list.IsSuspect(Print(99), now));
  EXPECT_FALSE(list.IsSuspect(Print(89), now));
}

// Guards against different requests sharing a fingerprint because their fields are joined.
TEST(RequestFingerprint, SeparatesItsFields)
{
  BodyHasher whole;
  BodyHasher pieces;
  const std::string body = "scan";
  whole.Update(std::as_bytes(std::span(body)));
  pieces.Update(std::as_bytes(std::span(body)).first(1));
  pieces.Update(std::as_bytes(std::span(body)).subspan(1));
  EXPECT_EQ(whole.Digest(), pieces.Digest());
  const auto print = RequestFingerprint::Of("a", "GET", "/x", whole.Digest());
  EXPECT_EQ(print, RequestFingerprint::Of("a", "GET", "/x", pieces.Digest()));
  EXPECT_NE(print, RequestFingerprint::Of("aG", "ET", "/x", whole.Digest()));
  EXPECT_NE(print, RequestFingerprint::Of("a", "GET/", "x", whole.Digest()));
  EXPECT_NE(print, RequestFingerprint::Of("a", "GET", "/x", BodyHasher().Digest()));
}

} // namespace
} // namespace jaylane::policy
