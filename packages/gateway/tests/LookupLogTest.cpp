#include "LookupLog.h"

#include <gtest/gtest.h>
#include <mutex>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;
using policy::LookupScope;

// Guards against lookups that send callers to another region without a trace of the reason, and
// against a log that zones without VMs fill.
TEST(LookupLogTest, SaysWhyTheCallersRegionWasLeftOut)
{
  std::mutex mutex;
  std::string output;
  base::ManualClock clock;
  const std::vector<LookupScope::Vm> vms{
    { "near", "a", "r", true, false, 0ns, 1800ms },
    { "silent", "x", "far", true, false, 2000ms, 1800ms },
    { "stopping", "x", "far", true, true, 100ms, 1800ms },
    { "unknown", "y", "far", true, false, std::nullopt, 1800ms },
    { "starting", "y", "far", false, false, 100ms, 1800ms },
  };
  {
    base::AsyncLog log{ "vm", clock, { 64, 1000, [&](std::string_view aText) {
                                        const std::lock_guard lock(mutex);
                                        output.append(aText);
                                      } } };
    LookupLog lookupLog(clock, log);
    for (int i = 0; i < 15; ++i) {
      lookupLog.OnDecision(vms, { "a", "r" }, { LookupScope::Kind::Zone, { "near" } });
      lookupLog.OnDecision(vms, { "b", "r" }, { LookupScope::Kind::Region, { "near" } });
      lookupLog.OnDecision(vms, { "x", "far" }, { LookupScope::Kind::OtherRegion, { "near" } });
      clock.Advance(100ms);
    }
  }
  const auto count = [&output](std::string_view aText) {
    int found = 0;
    for (auto at = output.find(aText); at != std::string::npos; at = output.find(aText, at + 1)) {
      ++found;
    }
    return found;
  };
  EXPECT_EQ(count("lookup_outside_zone"), 4) << output;
  EXPECT_EQ(count(R"("scope":"other_region","zone":"x","region":"far","zones":"a","vms":1,)"
                  R"("region_vms":4,"ready":0,"not_ready":1,"leaving":1,"overdue":1,)"
                  R"("never_heard":1,"lookups":10)"),
            1)
    << output;
}

} // namespace
} // namespace jaylane::gateway
