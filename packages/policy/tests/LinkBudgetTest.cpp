#include "jaylane/policy/LinkBudget.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr base::MonotonicTime kStartedAt{ 1h };
constexpr std::uint64_t kBytesPerSecond = 37'500'000; // 300 Mbit/s

struct Transfer
{
  base::MonotonicTime m_at;
  double m_bytes;
  bool m_isBulk;
};

// The VMs together must not exceed the bandwidth of the link, or the bulk fraction of it, in any
// interval (apart from one burst).
RC_GTEST_PROP(LinkBudget, SumStaysWithinRate, ())
{
  const auto vmCount = *rc::gen::inRange(1, 5);
  const LinkLimits limits{
    { { "r1", kBytesPerSecond } }, static_cast<std::uint32_t>(vmCount), 0.6, 100ms
  };
  std::vector<LinkBudget> vms(vmCount, *LinkBudget::Make(limits, kStartedAt));
  const auto script = *rc::gen::container<std::vector<std::uint32_t>>(
    200, rc::gen::inRange<std::uint32_t>(0, 0x7fff'ffff));
  std::vector<Transfer> transfers;
  auto now = kStartedAt;
  for (const auto event : script) {
    now += event / 8 % 60 * 1ms;
    auto& vm = vms[event % vmCount];
    if (event / 512 % 40 == 0) {
      vm = *LinkBudget::Make(limits, now);
    }
    const bool isBulk = event / 4096 % 3 != 0;
    const auto wanted = event % 3'000'000;
    const auto granted =
      vm.Acquire("r1", wanted, isBulk ? TransferClass::Bulk : TransferClass::Interactive, now);
    RC_ASSERT(granted <= wanted);
    transfers.push_back({ now, static_cast<double>(granted), isBulk });
  }
  std::array<double, 2> excessBytes{};
  for (std::size_t first = 0; first < transfers.size(); ++first) {
    std::array<double, 2> sums{};
    for (auto last = first; last < transfers.size(); ++last) {
      const std::chrono::duration<double> elapsed =
        transfers[last].m_at - transfers[first].m_at + 100ms;
      sums[0] += transfers[last].m_bytes;
      sums[1] += transfers[last].m_isBulk ? transfers[last].m_bytes : 0;
      excessBytes[0] = std::max(excessBytes[0], sums[0] - elapsed.count() * kBytesPerSecond);
      excessBytes[1] = std::max(excessBytes[1], sums[1] - elapsed.count() * kBytesPerSecond * 0.6);
    }
  }
  RC_ASSERT(excessBytes[0] <= 1);
  RC_ASSERT(excessBytes[1] <= 1);
}

// A long upload must neither stall nor starve interactive requests: each gets almost half of the
// link.
TEST(LinkBudget, LongUploadProgressesBesideInteractive)
{
  auto budget = *LinkBudget::Make({ { { "r1", kBytesPerSecond } }, 1, 0.5, 100ms }, kStartedAt);
  auto now = kStartedAt;
  double uploaded = 0;
  double interactive = 0;
  while (now < kStartedAt + 10s) {
    const auto wait = budget.WaitFor("r1", 65'536, TransferClass::Bulk, now);
    ASSERT_LT(wait, 1s);
    now += std::max<std::chrono::nanoseconds>(wait, 1us);
    EXPECT_GE(budget.Acquire("r1", 65'536, TransferClass::Bulk, now), 65'536U);
    uploaded += 65'536;
    interactive +=
      static_cast<double>(budget.Acquire("r1", 1 << 30, TransferClass::Interactive, now));
  }
  EXPECT_GT(uploaded, kBytesPerSecond * 10 * 0.45);
  EXPECT_GT(interactive, kBytesPerSecond * 10 * 0.45);
}

// A restarted process must not send a burst again that the previous one may have just sent.
TEST(LinkBudget, StartsEmpty)
{
  auto budget = *LinkBudget::Make({ { { "r1", kBytesPerSecond } }, 1, 0.5, 100ms }, kStartedAt);
  EXPECT_EQ(budget.Acquire("r1", 1000, TransferClass::Interactive, kStartedAt), 0U);
  EXPECT_EQ(budget.Acquire("elsewhere", 1000, TransferClass::Bulk, kStartedAt), 1000U);
}

// Limits under which a transfer would never progress, and inconsistent ones, must be rejected.
TEST(LinkBudget, RejectsInvalidLimits)
{
  EXPECT_FALSE(LinkBudget::Make({ { { "r1", 5 } }, 1, 0.5, 100ms }, kStartedAt));
  EXPECT_FALSE(LinkBudget::Make({ { { "r1", kBytesPerSecond } }, 0, 0.5, 100ms }, kStartedAt));
  EXPECT_FALSE(LinkBudget::Make({ { { "r1", kBytesPerSecond } }, 1, 1.5, 100ms }, kStartedAt));
  EXPECT_FALSE(LinkBudget::Make(
    { { { "r1", kBytesPerSecond }, { "r1", kBytesPerSecond } }, 1, 0.5, 100ms }, kStartedAt));
}

} // namespace
} // namespace jaylane::policy
