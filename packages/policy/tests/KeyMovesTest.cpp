#include "jaylane/policy/ServiceBalancer.h"

#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kKeys = 10'000;

/// Upstreams of one region with different numbers of slots, and the first upstream of each key
/// while none is busy.
class KeyMovesTest : public testing::TestWithParam<std::size_t>
{
protected:
  KeyMovesTest()
  {
    for (std::size_t i = 0; i < GetParam(); ++i) {
      Add(i);
    }
  }

  void Add(std::size_t aNumber)
  {
    Upstream upstream;
    upstream.m_id = fmt::format("i-{}", aNumber);
    upstream.m_region = "r";
    upstream.m_slots = 2 + aNumber % 5;
    m_upstreams[upstream.m_id] = upstream;
  }

  std::vector<std::string> Place()
  {
    std::vector<ServiceBalancer::Candidate> candidates;
    for (const auto& [id, upstream] : m_upstreams) {
      candidates.emplace_back().m_upstream = upstream;
    }
    ServiceBalancer balancer({}, "r");
    balancer.Update(std::move(candidates), {});
    std::vector<std::string> places;
    for (std::size_t key = 0; key < kKeys; ++key) {
      ServiceBalancer::Query query;
      query.m_key = (key + 1) * 0x9E3779B97F4A7C15;
      query.m_hasAffinity = true;
      query.m_remaining = 2000ms;
      query.m_targetLatency = 400ms;
      places.push_back(balancer.Choose(query, {}).m_upstream->m_id);
    }
    return places;
  }

  std::map<std::string, double> Shares() const
  {
    double slots = 0;
    for (const auto& [id, upstream] : m_upstreams) {
      slots += upstream.m_slots;
    }
    std::map<std::string, double> shares;
    for (const auto& [id, upstream] : m_upstreams) {
      shares[id] = upstream.m_slots / slots;
    }
    return shares;
  }

  /// Applies a change and compares the keys that move with those that have to, so that the shares
  /// follow the slots.
  void ExpectFewMoves(const std::function<void()>& aChange, const char* aName)
  {
    const auto before = Place();
    const auto sharesBefore = Shares();
    aChange();
    const auto after = Place();
    const auto sharesAfter = Shares();
    double least = 0;
    for (const auto& [id, share] : sharesAfter) {
      const auto was = sharesBefore.find(id);
      least += std::max(0.0, share - (was == sharesBefore.end() ? 0 : was->second)) * kKeys;
    }
    double moved = 0;
    std::map<std::string, double> counts;
    for (std::size_t key = 0; key < kKeys; ++key) {
      moved += before[key] != after[key] ? 1 : 0;
      ++counts[after[key]];
    }
    // A tenth, and three standard deviations of the number of keys that an upstream gets by chance.
    EXPECT_LE(moved, 1.1 * least + 3 * std::sqrt(least)) << aName;
    RecordProperty(fmt::format("moved over least, {}", aName), std::to_string(moved / least));
    for (const auto& [id, share] : sharesAfter) {
      EXPECT_NEAR(counts[id] / kKeys, share, 0.02) << aName << ", " << id;
    }
  }

  std::map<std::string, Upstream> m_upstreams;
};

// Guards against callers that change their upstream although theirs has neither left nor shrunk.
TEST_P(KeyMovesTest, KeysMoveOnlyAsFarAsTheSlotsDo)
{
  ExpectFewMoves([this] { Add(GetParam()); }, "one added");
  ExpectFewMoves([this] { m_upstreams.erase("i-3"); }, "one removed");
  ExpectFewMoves([this] { m_upstreams["i-4"].m_slots *= 2; }, "one grown");
  ExpectFewMoves(
    [this] {
      for (std::size_t i = 0; i < GetParam() / 4; ++i) {
        Add(GetParam() + 1 + i);
      }
    },
    "a quarter added");
}

INSTANTIATE_TEST_SUITE_P(Upstreams, KeyMovesTest, testing::Values(24, 358, 1500));

} // namespace
} // namespace jaylane::policy
