#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

#include <fmt/format.h>
#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kPausedVm = "r0-a-entry-0";
constexpr std::size_t kCallers = 4;
/// Longer than a request's deadline and the time after which peers consider a VM that sends nothing
/// as gone.
constexpr std::chrono::seconds kPauseDuration{ 4 };

/// Guards against a VM that resumes after a pause and uses expired leases, or executes again what
/// callers have sent through other VMs during the pause (G2, G3, G4, G5).
TEST(Pause, NoSecondExecutionAndNoExpiredSlots)
{
  TestDeploymentOptions options;
  options.m_serviceTime = std::chrono::milliseconds{ 40 };
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  const auto steeredCaller = FindSteeredCaller(*scenario, kPausedVm, "r0");
  ASSERT_TRUE(steeredCaller);
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = MakeCallerOptions("r0", i);
    if (i < 2) {
      // These two callers send more than the VM's own slots can serve, so that it borrows slots.
      caller.m_callerIp = steeredCaller->m_address;
    }
    caller.m_rate = i < 2 ? 55 : 15;
    caller.m_orders = 2;
    caller.m_resendShare = 0.3;
    caller.m_duration = std::chrono::seconds{ 7 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 60));
  Process& process = *scenario->Deployment().FindProcess(kPausedVm);
  process.Pause();
  std::this_thread::sleep_for(kPauseDuration);
  process.Resume();
  EXPECT_TRUE(WaitFor([&] { return scenario->IsServing(kPausedVm); }, kTimeout));
  // Each try needs a new key: the outcome "not-run" is final for a key.
  unsigned tries = 0;
  EXPECT_TRUE(WaitFor(
    [&] {
      const auto current = FindSteeredCaller(*scenario, kPausedVm, "r0");
      return current && SendOrder(*scenario,
                                  kPausedVm,
                                  fmt::format("{}.after-pause-{}", current->m_scope, ++tries))
                            .m_status == 200;
    },
    kTimeout))
    << "the VM does not serve orders after its pause";
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 200u);
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
