#include "jaylane/testing/CallerLoad.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/HistoryChecker.h"
#include "jaylane/testing/ProcessHarness.h"
#include "jaylane/testing/UpstreamStandIn.h"

#include <gtest/gtest.h>
#include <json/writer.h>

namespace jaylane::testing {
namespace {

using std::chrono::milliseconds;

/// Caller and upstream without an entry VM: lookups return the address of the upstream.
class CallerLoadTest : public ::testing::Test
{
protected:
  void Start(UpstreamOptions aOptions)
  {
    auto upstream = UpstreamStandIn::Make(aOptions);
    ASSERT_TRUE(upstream);
    m_upstream = std::move(*upstream);
    auto lookups = HttpServer::Make({}, { nullptr, [this](HttpRequest&) { return Lookup(); }, {} });
    ASSERT_TRUE(lookups);
    m_lookups = std::move(*lookups);
  }

  HttpResponse Lookup() const
  {
    Json::Value body;
    body["lifetime_ms"] = 100;
    body["scope"] = "00000000000000000000000000000001-1";
    body["vms"][0]["id"] = "vm";
    body["vms"][0]["address"] = m_upstream->Address();
    return JsonResponse(200, platform::WriteJson(body));
  }

  CallerOptions Options() const
  {
    CallerOptions options;
    // The first entry refuses connections, so the caller has to try the next one.
    options.m_entries = { "127.0.0.1:9", m_lookups->Address() };
    options.m_rate = 1000;
    options.m_duration = std::chrono::seconds{ 20 };
    options.m_deadline = std::chrono::seconds{ 20 };
    options.m_maxRequests = 50;
    return options;
  }

  Json::Value Run(const CallerOptions& aOptions)
  {
    auto load = CallerLoad::Make(aOptions);
    EXPECT_TRUE(load);
    return (*load)->Run();
  }

  std::unique_ptr<UpstreamStandIn> m_upstream;
  std::unique_ptr<HttpServer> m_lookups;
};

// Guards against a caller or upstream stand-in that loses or alters requests without any fault.
TEST_F(CallerLoadTest, AllKindsComplete)
{
  UpstreamOptions upstream;
  upstream.m_slots = 50;
  upstream.m_serviceTime = milliseconds{ 1 };
  Start(upstream);
  CallerOptions options = Options();
  options.m_orders = options.m_uploads = 1;
  options.m_uploadBytes = 300'000;
  options.m_responseBytes = 100'000;
  options.m_resendShare = 1;
  const Json::Value summary = Run(options);
  EXPECT_EQ(summary["outcomes"]["completed"].asUInt(), 50u) << summary;
  EXPECT_GT(summary["outcomes"]["resend-completed"].asUInt(), 0u) << summary;
  EXPECT_EQ(summary["integrity"]["whole"], summary["attempts"]) << summary;
  EXPECT_EQ(m_upstream->Stats()["executed"], summary["attempts"]);
}

// Guards against caller and upstream records that contradict each other when requests are shed or
// responses are truncated or lost, and against a caller that accepts such responses as complete.
TEST_F(CallerLoadTest, RecordsOfFaultsAgree)
{
  const auto harness = ProcessHarness::Make();
  ASSERT_TRUE(harness);
  UpstreamOptions upstream;
  upstream.m_slots = 2;
  upstream.m_serviceTime = milliseconds{ 10 };
  upstream.m_recordFile = (*harness)->PathOf("upstream");
  Start(upstream);
  UpstreamControls controls = m_upstream->Controls();
  controls.m_closeNext = controls.m_truncateNext = 5;
  m_upstream->SetControls(controls);
  CallerOptions options = Options();
  options.m_orders = 1;
  options.m_resendShare = 0;
  options.m_recordFile = (*harness)->PathOf("caller");
  const Json::Value summary = Run(options);
  EXPECT_GT(summary["outcomes"]["completed"].asUInt(), 0u) << summary;
  EXPECT_GT(summary["outcomes"]["not-run"].asUInt(), 0u) << summary;
  EXPECT_GE(summary["outcomes"]["unknown"].asUInt(), 5u) << summary;
  EXPECT_GT(summary["integrity"]["cut"].asUInt(), 0u) << summary;

  HistoryChecker checker({});
  ASSERT_TRUE(checker.AddCallerFile(options.m_recordFile));
  ASSERT_TRUE(checker.AddUpstreamFile(upstream.m_recordFile));
  for (const Violation& violation : checker.Check()) {
    EXPECT_EQ(violation.m_rule, HistoryChecker::kOverSlotsRule) << violation.ToJson();
  }
  EXPECT_FALSE(checker.Check().empty());
  EXPECT_EQ(checker.Report()["attempts"], summary["attempts"]);
}

} // namespace
} // namespace jaylane::testing
