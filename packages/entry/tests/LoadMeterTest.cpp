#include "LoadMeter.h"

#include "SlotLeaseManager.h"
#include "TestContext.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

using std::chrono::milliseconds;

// Guards against reports of an unfinished interval, and against a hot bucket that is not reported
// separately.
TEST(LoadMeter, ReportsTheLastCompleteInterval)
{
  TestContext test;
  LoadMeter meter(test.m_context);
  for (std::uint32_t bucket = 0; bucket < 100; ++bucket) {
    meter.Record("svc", "east", bucket, milliseconds{ 50 });
  }
  meter.Record("svc", "east", 7, milliseconds{ 20'000 });
  EXPECT_TRUE(meter.Report().m_services.empty());
  test.m_clock.Advance(LoadMeter::kInterval);
  const auto report = meter.Report();
  const OriginLoad& load = report.m_services.at("svc").at("east");
  EXPECT_NEAR(load.m_total, 5.0, 1e-9);
  EXPECT_NEAR(load.m_hotBuckets.at(7), 4.01, 1e-9);
  test.m_clock.Advance(LoadMeter::kInterval);
  EXPECT_TRUE(meter.Report().m_services.empty());
}

// Guards against reports that change when they are sent to another VM, and against malformed ones
// that are accepted.
TEST(LoadReport, RoundTripsAndAdds)
{
  LoadReport report;
  report.m_services["svc"]["east"] = { 2.5, { { 7, 1.5 } } };
  auto parsed = LoadReport::Parse(report.ToText());
  ASSERT_TRUE(parsed);
  parsed->Add(report);
  const OriginLoad& sum = parsed->m_services.at("svc").at("east");
  EXPECT_DOUBLE_EQ(sum.m_total, 5.0);
  EXPECT_DOUBLE_EQ(sum.m_hotBuckets.at(7), 3.0);
  for (const char* text : { "",
                            "[]",
                            R"({"svc":1})",
                            R"({"svc":{"e":{"total":"1","hot":{}}}})",
                            R"({"svc":{"e":{"total":-1,"hot":{}}}})",
                            R"({"svc":{"e":{"total":1,"hot":{"x":1}}}})" }) {
    EXPECT_FALSE(LoadReport::Parse(text)) << text;
  }
}

// Guards against borrowed slots that cannot be used: a service with a timeout of 600 s borrowed for
// 10 s could not use them, while the lender lacked them and refused half of its requests.
TEST(SlotLeaseManager, BorrowsOnlyWhatItCanUse)
{
  using std::chrono::seconds;
  TestContext test;
  ZoneSlotPool slots(test.m_context, {});
  const Directory directory(test.m_context);
  SlotLeaseManager leases(test.m_context, slots, directory);
  leases.SetLeaseDuration(seconds{ 10 });
  EXPECT_TRUE(leases.LeaseCovers(seconds{ 5 }));
  EXPECT_FALSE(leases.LeaseCovers(seconds{ 600 }));
  EXPECT_FALSE(leases.LeaseCovers(seconds{ 10 }));
  leases.SetLeaseDuration(seconds{ 20 });
  EXPECT_TRUE(leases.LeaseCovers(seconds{ 10 }));
}

} // namespace
} // namespace jaylane::entry
