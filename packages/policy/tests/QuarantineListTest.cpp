#include "jaylane/policy/QuarantineList.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

RequestFingerprint MakeFingerprint(std::uint64_t aNumber)
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

// Three lists after a random sequence of losses, completions and merges.
struct RandomLists
{
  RandomLists()
  {
    const auto steps = *rc::gen::arbitrary<std::vector<std::tuple<std::uint8_t, std::uint8_t>>>();
    for (const auto& [operation, randomByte] : steps) {
      auto& list = m_lists[randomByte % 3];
      if (operation % 8 == 0) {
        list.RecordCompleted(MakeFingerprint(operation / 8 % 5), m_now);
      } else if (operation % 8 == 1) {
        list.Merge(m_lists[randomByte / 3 % 3].Strikes(m_now), m_now);
      } else {
        list.RecordLoss(MakeFingerprint(operation % 13), randomByte % 7, m_now);
      }
      m_now += std::chrono::milliseconds{ randomByte };
    }
  }

  base::MonotonicTime m_now{ 1h };
  std::array<QuarantineList, 3> m_lists{ QuarantineList({}, 1),
                                         QuarantineList({}, 2),
                                         QuarantineList({}, 3) };
};

// VMs must agree after they have received the same strikes, also if messages were repeated or
// reordered.
RC_GTEST_PROP(QuarantineList, MergeIsCommutativeAndIdempotent, ())
{
  RandomLists lists;
  auto& [a, b, c] = lists.m_lists;
  const auto fromA = a.Strikes(lists.m_now);
  const auto fromB = b.Strikes(lists.m_now);
  const auto fromC = c.Strikes(lists.m_now);
  a.Merge(fromB, lists.m_now);
  a.Merge(fromC, lists.m_now);
  b.Merge(fromC, lists.m_now);
  b.Merge(fromC, lists.m_now);
  b.Merge(fromA, lists.m_now);
  b.Merge(fromB, lists.m_now);
  RC_ASSERT(Sorted(a.Strikes(lists.m_now)) == Sorted(b.Strikes(lists.m_now)));
  for (std::uint64_t fingerprint = 0; fingerprint < 13; ++fingerprint) {
    RC_ASSERT(a.IsQuarantined(MakeFingerprint(fingerprint), lists.m_now) ==
              b.IsQuarantined(MakeFingerprint(fingerprint), lists.m_now));
  }
}

// Peers must not prolong a quarantine by sending the same strikes back and forth.
RC_GTEST_PROP(QuarantineList, StrikesExpireAmongPeers, (const std::vector<std::uint16_t>& aDelays))
{
  QuarantineOptions options;
  options.m_lifetime = 10s;
  std::array<QuarantineList, 2> lists{ QuarantineList(options, 1), QuarantineList(options, 2) };
  base::MonotonicTime now{ 1h };
  lists[0].RecordLoss(MakeFingerprint(1), 1, now);
  lists[0].RecordLoss(MakeFingerprint(1), 2, now);
  const auto end = now + 2 * options.m_lifetime;
  std::size_t sender = 0;
  for (const auto delay : aDelays) {
    const auto message = lists[sender].Strikes(now);
    now += std::chrono::milliseconds{ delay % 2000 };
    sender = 1 - sender;
    lists[sender].Merge(message, now);
    if (now >= end) {
      RC_ASSERT(!lists[0].IsQuarantined(MakeFingerprint(1), now));
    }
  }
  lists[0].Merge({}, end + 2 * options.m_lifetime);
  RC_ASSERT(lists[0].size() == 0u);
}

// A fingerprint must not be quarantined before two different upstreams crashed, and must be after
// four, whether or not the strikes count as a mass failure.
RC_GTEST_PROP(QuarantineList, QuarantineNeedsTwoCrashes, ())
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  std::map<std::uint64_t, std::set<std::uint64_t>> upstreams;
  for (const auto loss : *rc::gen::arbitrary<std::vector<std::uint8_t>>()) {
    const std::uint64_t fingerprint = loss % 16;
    list.RecordLoss(MakeFingerprint(fingerprint), loss / 16, now);
    upstreams[fingerprint].insert(loss / 16);
  }
  for (const auto& [fingerprint, crashes] : upstreams) {
    RC_ASSERT(!list.IsQuarantined(MakeFingerprint(fingerprint), now) || crashes.size() >= 2);
    RC_ASSERT(list.IsQuarantined(MakeFingerprint(fingerprint), now) || crashes.size() < 4);
  }
}

// Two copies of a request that are lost in one crash must count once, and a second crash of the
// same upstream after its restart must count again.
TEST(QuarantineList, CountsACrashOnce)
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  list.RecordLoss(MakeFingerprint(1), 7, now);
  list.RecordLoss(MakeFingerprint(1), 7, now + 10ms);
  EXPECT_TRUE(list.IsSuspect(MakeFingerprint(1), now));
  EXPECT_FALSE(list.IsQuarantined(MakeFingerprint(1), now));
  now += 5s;
  list.RecordLoss(MakeFingerprint(1), 7, now);
  EXPECT_TRUE(list.IsQuarantined(MakeFingerprint(1), now));
  EXPECT_FALSE(list.IsQuarantined(MakeFingerprint(1), now + QuarantineOptions{}.m_lifetime));
}

// Returns how many requests are quarantined, none of which caused a crash, when 20 upstreams with 3
// requests each fail within 1.5 s and each request is retried once, on the upstream that fails
// next.
int QuarantinedByPowerLoss(const QuarantineOptions& aOptions)
{
  QuarantineList list(aOptions, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t upstream = 0; upstream < 20; ++upstream) {
    for (std::uint64_t request = 0; request < 3; ++request) {
      list.RecordLoss(MakeFingerprint(3 * upstream + request), upstream, now);
      list.RecordLoss(MakeFingerprint(3 * (upstream + 19) % 60 + request), upstream, now);
    }
    now += 75ms;
  }
  int quarantined = 0;
  for (std::uint64_t fingerprint = 0; fingerprint < 60; ++fingerprint) {
    quarantined += list.IsQuarantined(MakeFingerprint(fingerprint), now) ? 1 : 0;
  }
  return quarantined;
}

// A power loss must not quarantine the requests that were in flight. Without the two rules for
// failures that have no common cause it does; each of them alone prevents it.
TEST(QuarantineList, MassFailureQuarantinesNothing)
{
  EXPECT_EQ(QuarantinedByPowerLoss({}), 0);
  QuarantineOptions withoutMassFailures;
  withoutMassFailures.m_massFailureUpstreams = 1000;
  EXPECT_EQ(QuarantinedByPowerLoss(withoutMassFailures), 0);
  QuarantineOptions withoutMaxCulprits;
  withoutMaxCulprits.m_maxCulprits = 1000;
  EXPECT_EQ(QuarantinedByPowerLoss(withoutMaxCulprits), 0);
  withoutMassFailures.m_maxCulprits = 1000;
  EXPECT_GT(QuarantinedByPowerLoss(withoutMassFailures), 0);
}

// A request that crashes every upstream is resent through all VMs without end, together with
// harmless requests, while the VMs exchange strikes every second. It must be quarantined before it
// takes down the service.
RC_GTEST_PROP(QuarantineList, ACrashingRequestCostsFewUpstreams, (std::uint32_t aSeed))
{
  constexpr std::size_t kVms = 4;
  std::vector<QuarantineList> lists;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    lists.emplace_back(QuarantineOptions{}, vm);
  }
  base::MonotonicTime now{ 1h };
  std::uint64_t crashes = 0;
  const auto crash = MakeFingerprint(0);
  for (std::uint64_t tick = 0; tick < 600; ++tick, now += 100ms) {
    const std::size_t vm = (aSeed + tick * 7) % kVms;
    if (!lists[vm].IsQuarantined(crash, now)) {
      const std::uint64_t upstream = (aSeed + tick * 13) % 20;
      ++crashes;
      lists[vm].RecordLoss(crash, upstream, now);
      for (std::uint64_t other = 1; other < 4; ++other) {
        lists[vm].RecordLoss(MakeFingerprint(aSeed + 3 * tick + other), upstream, now);
      }
    }
    if (tick % 10 == 9) {
      const auto from = (aSeed + tick) % kVms;
      lists[(from + 1 + tick % 3) % kVms].Merge(lists[from].Strikes(now), now);
    }
  }
  // Without the exchange, each VM needs two crashes, or four during a mass failure.
  RC_ASSERT(crashes <= kVms * QuarantineOptions{}.m_totalCrashThreshold);
}

// Requests that were in flight with one that crashed their upstream must not be quarantined with
// it. If suspect requests are retried on separate upstreams, as IsSuspect() requires, only the one
// that causes the crashes is lost a second time.
TEST(QuarantineList, SeparateRetriesClearHarmlessRequests)
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t request = 0; request < 4; ++request) {
    list.RecordLoss(MakeFingerprint(request), 1, now);
  }
  for (std::uint64_t request = 1; request < 4; ++request) {
    EXPECT_TRUE(list.IsSuspect(MakeFingerprint(request), now));
    list.RecordCompleted(MakeFingerprint(request), now += 100ms);
  }
  list.RecordLoss(MakeFingerprint(0), 2, now);
  EXPECT_TRUE(list.IsQuarantined(MakeFingerprint(0), now));
  // A later crash caused by an unrelated request counts as the first.
  list.RecordLoss(MakeFingerprint(1), 3, now += 1min);
  EXPECT_FALSE(list.IsQuarantined(MakeFingerprint(1), now));
}

// A request that crashes some upstreams and completes at others must be quarantined in the end,
// although completions discount its strikes.
TEST(QuarantineList, CompletionsDiscountOnlyAFewCrashes)
{
  QuarantineList list({}, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t crash = 0; crash < 4; ++crash) {
    EXPECT_FALSE(list.IsQuarantined(MakeFingerprint(1), now)) << crash;
    list.RecordLoss(MakeFingerprint(1), crash, now += 5s);
    list.RecordCompleted(MakeFingerprint(1), now += 5s);
  }
  EXPECT_TRUE(list.IsQuarantined(MakeFingerprint(1), now));
}

// The list must not grow beyond its limit; the oldest strikes are dropped.
TEST(QuarantineList, KeepsTheNewestWhenFull)
{
  QuarantineOptions options;
  options.m_maxStrikes = 10;
  QuarantineList list(options, 1);
  base::MonotonicTime now{ 1h };
  for (std::uint64_t loss = 0; loss < 100; ++loss) {
    list.RecordLoss(MakeFingerprint(loss), loss, now += 1s);
  }
  EXPECT_EQ(list.size(), 10u);
  EXPECT_TRUE(list.IsSuspect(MakeFingerprint(99), now));
  EXPECT_FALSE(list.IsSuspect(MakeFingerprint(89), now));
}

// Fields are hashed with separators, so that requests whose concatenated fields are equal get
// different fingerprints. The body hash must not depend on how the body is split.
TEST(RequestFingerprint, SeparatesItsFields)
{
  BodyHasher whole;
  BodyHasher pieces;
  const std::string body = "scan";
  whole.Update(std::as_bytes(std::span(body)));
  pieces.Update(std::as_bytes(std::span(body)).first(1));
  pieces.Update(std::as_bytes(std::span(body)).subspan(1));
  EXPECT_EQ(whole.Digest(), pieces.Digest());
  const auto fingerprint = RequestFingerprint::Of("a", "GET", "/x", whole.Digest());
  EXPECT_EQ(fingerprint, RequestFingerprint::Of("a", "GET", "/x", pieces.Digest()));
  EXPECT_NE(fingerprint, RequestFingerprint::Of("aG", "ET", "/x", whole.Digest()));
  EXPECT_NE(fingerprint, RequestFingerprint::Of("a", "GET/", "x", whole.Digest()));
  EXPECT_NE(fingerprint, RequestFingerprint::Of("a", "GET", "/x", BodyHasher().Digest()));
}

} // namespace
} // namespace jaylane::policy
