#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

#include <fmt/format.h>
#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kPaused = "r0-a-entry-0";
constexpr std::size_t kCallers = 4;
/// Longer than a request's deadline and the time after which peers take a silent VM as gone.
constexpr std::chrono::seconds kPause{ 4 };

/// Guards against use of lapsed leases by a VM that resumes after a pause, and against a second run
/// by it of what callers sent to others meanwhile (G2, G3, G4, G5).
TEST(Pause, NoSecondRunAndNoLapsedSlots)
{
  SmallPlan plan;
  plan.m_serviceTime = std::chrono::milliseconds{ 40 };
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  const auto target = TargetOf(*scenario, kPaused, "r0");
  ASSERT_TRUE(target);
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = CallerOf("r0", i);
    if (i < 2) {
      // More than the VM's own slots carry, so that it borrows.
      caller.m_callerIp = target->m_caller;
    }
    caller.m_rate = i < 2 ? 55 : 15;
    caller.m_orders = 2;
    caller.m_resendShare = 0.3;
    caller.m_duration = std::chrono::seconds{ 7 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForWork(*scenario, 60));
  Process& process = *scenario->Deployment().FindProcess(kPaused);
  process.Pause();
  std::this_thread::sleep_for(kPause);
  process.Resume();
  EXPECT_TRUE(WaitFor([&] { return scenario->IsServing(kPaused); }, kTimeout));
  // A new key for each try: not-run is final for a key.
  unsigned tries = 0;
  EXPECT_TRUE(WaitFor(
    [&] {
      const auto again = TargetOf(*scenario, kPaused, "r0");
      return again && SendOrder(*scenario,
                                kPaused,
                                fmt::format("{}.after-pause-{}", again->m_scope, ++tries))
                          .m_status == 200;
    },
    kTimeout))
    << "the VM does not serve after its pause";
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 200u);
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
