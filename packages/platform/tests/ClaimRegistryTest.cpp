#include "jaylane/platform/ClaimRegistry.h"

#include "jaylane/platform/FakeStore.h"

#include <array>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <thread>
#include <vector>

namespace jaylane::platform {
namespace {

using std::chrono::hours;

constexpr unsigned kVms = 3;
constexpr unsigned kKeys = 3;

ClaimOptions WithoutRateLimit()
{
  ClaimOptions options;
  options.m_writesPerSecond = options.m_burst = 1e9;
  return options;
}

/// Simulates VMs that claim keys and run their requests while store calls fail at random.
class ClaimSimulation
{
public:
  /// @param aChoices decide what happens; after the last one, the first option is taken each time.
  explicit ClaimSimulation(std::vector<unsigned> aChoices)
    : m_choices(std::move(aChoices))
  {
    for (unsigned i = 0; i < kVms; ++i) {
      m_vms.push_back(std::make_unique<ClaimRegistry>(
        m_store, m_clock, WithoutRateLimit(), "vm" + std::to_string(i), MakeNonceSource(i)));
    }
    m_store.SetFaultHook([this](StoreCall) {
      constexpr std::array<StoreFault, 8> kFaults{
        StoreFault::None,         StoreFault::None,    StoreFault::None, StoreFault::None,
        StoreFault::LostResponse, StoreFault::Refused, StoreFault::Late, StoreFault::LostRequest
      };
      return kFaults[Choose(kFaults.size())];
    });
    // Other VMs may claim keys between any two store calls.
    m_store.SetDelayHook([this](StoreCall) {
      if (m_depth < kVms && Choose(2) == 1) {
        ClaimAndRun();
      }
    });
  }

  /// Lets a VM claim a key and run its request if the claim succeeds, unless the VM crashes first.
  void ClaimAndRun()
  {
    ++m_depth;
    const std::string key = "key" + std::to_string(Choose(kKeys));
    ClaimRegistry& vm = *m_vms[Choose(kVms)];
    if (Choose(8) == 0) {
      vm.CleanUp();
    }
    const ClaimOutcome result = vm.Claim(key).m_outcome;
    const bool crashes = Choose(8) == 0;
    if (result == ClaimOutcome::Claimed) {
      ++m_claims[key];
      m_runs[key] += crashes ? 0 : 1;
    } else if (result == ClaimOutcome::AlreadyClaimed) {
      // Only correct if the store holds a claim of the key, which Check() verifies.
      m_reported[key] = true;
    }
    --m_depth;
  }

  void Check()
  {
    m_store.SetFaultHook({});
    m_store.SetDelayHook({});
    for (const auto& [key, count] : m_claims) {
      RC_ASSERT(count <= 1u);
      RC_ASSERT(m_runs[key] <= 1u);
      // A claimed key stays claimed.
      RC_ASSERT(m_vms[0]->Claim(key).m_outcome == ClaimOutcome::AlreadyClaimed);
    }
    for (unsigned i = 0; i < kKeys; ++i) {
      const std::string key = "key" + std::to_string(i);
      const bool stored = static_cast<bool>(m_store.Get("claim/" + key, {}));
      RC_ASSERT(stored || !m_reported[key]);
      // Without faults a key is either claimed already or can be claimed.
      const ClaimOutcome expected = stored ? ClaimOutcome::AlreadyClaimed : ClaimOutcome::Claimed;
      RC_ASSERT(m_vms[1]->Claim(key).m_outcome == expected);
    }
  }

private:
  std::size_t Choose(std::size_t aBound)
  {
    if (m_next == m_choices.size()) {
      return 0;
    }
    return m_choices[m_next++] % aBound;
  }

  const std::vector<unsigned> m_choices;
  std::size_t m_next = 0;
  unsigned m_depth = 0;
  base::ManualClock m_clock;
  FakeStore m_store;
  std::vector<std::unique_ptr<ClaimRegistry>> m_vms;
  std::map<std::string, unsigned> m_claims;
  std::map<std::string, unsigned> m_runs;
  std::map<std::string, bool> m_reported;
};

// Guards against a key that runs twice because store requests or responses are lost, delayed or
// interleaved, and against claims that disappear before they expire.
TEST(ClaimRegistryProperty, KeyRunsAtMostOnce)
{
  EXPECT_TRUE(rc::check("a key runs at most once", [] {
    ClaimSimulation simulation(
      *rc::gen::container<std::vector<unsigned>>(400, rc::gen::arbitrary<unsigned>()));
    for (unsigned i = 0; i < 20; ++i) {
      simulation.ClaimAndRun();
    }
    simulation.Check();
  }));
}

// Guards against data races: exactly one of several concurrent claims must succeed, also when
// responses are lost.
TEST(ClaimRegistry, OneOfConcurrentClaimsSucceeds)
{
  base::ManualClock clock;
  FakeStore store;
  ClaimRegistry registry(store, clock, WithoutRateLimit(), "vm", MakeNonceSource(1));
  store.LoseResponses(1000);
  std::array<std::atomic<unsigned>, 50> successes{};
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (std::size_t key = 0; key < successes.size(); ++key) {
        if (registry.Claim(std::to_string(key)).m_outcome == ClaimOutcome::Claimed) {
          ++successes[key];
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& count : successes) {
    EXPECT_EQ(count, 1u);
  }
}

// Guards against claims that use up the write rate of the store.
TEST(ClaimRegistry, LimitsStoreWrites)
{
  base::ManualClock clock;
  FakeStore store;
  ClaimOptions options;
  options.m_writesPerSecond = 1;
  options.m_burst = 2;
  ClaimRegistry registry(store, clock, options, "vm", MakeNonceSource(1));
  EXPECT_EQ(registry.Claim("a").m_outcome, ClaimOutcome::Claimed);
  EXPECT_EQ(registry.Claim("b").m_outcome, ClaimOutcome::Claimed);
  const ClaimResult limited = registry.Claim("c");
  EXPECT_EQ(limited.m_outcome, ClaimOutcome::StoreUnavailable);
  EXPECT_TRUE(limited.m_rateLimited);
  EXPECT_EQ(store.Calls(StoreCall::Put), 2u);
  clock.Advance(std::chrono::seconds{ 1 });
  EXPECT_EQ(registry.Claim("c").m_outcome, ClaimOutcome::Claimed);
}

// Guards against claims that are deleted before they expire or never, and against a clean-up
// without a limit on its writes.
TEST(ClaimRegistry, CleanUpIsBoundedAndCoversOtherVms)
{
  base::ManualClock clock;
  FakeStore store;
  ClaimOptions options = WithoutRateLimit();
  options.m_cleanUpBatch = 2;
  options.m_lifetime = hours{ 1 };
  ClaimRegistry stopped(store, clock, options, "stopped", MakeNonceSource(1));
  ClaimRegistry own(store, clock, options, "own", MakeNonceSource(2));
  for (const char* key : { "a", "b", "c" }) {
    ASSERT_EQ(stopped.Claim(key).m_outcome, ClaimOutcome::Claimed);
  }
  ASSERT_EQ(own.Claim("d").m_outcome, ClaimOutcome::Claimed);
  clock.Advance(hours{ 1 });
  EXPECT_EQ(own.CleanUp(), 0u);
  clock.Advance(ClaimRegistry::kMaxClockDifference);
  clock.Advance(options.m_listInterval);
  EXPECT_EQ(own.CleanUp(), 2u);
  EXPECT_EQ(own.CleanUp(), 0u);
  clock.Advance(options.m_listInterval);
  EXPECT_EQ(own.CleanUp(), 2u);
  EXPECT_TRUE(store.List("claim/", {})->m_objects.empty());
}

} // namespace
} // namespace jaylane::platform
