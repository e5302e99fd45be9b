#include "jaylane/testing/UpstreamStandIn.h"

#include "jaylane/testing/HttpCall.h"
#include "jaylane/testing/ResponsePattern.h"
#include "jaylane/testing/WaitFor.h"

#include <gtest/gtest.h>
#include <thread>
#include <xxhash.h>

namespace jaylane::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 10'000 };

class UpstreamStandInTest : public ::testing::Test
{
protected:
  void Start(const UpstreamOptions& aOptions = {})
  {
    auto upstream = UpstreamStandIn::Make(aOptions);
    ASSERT_TRUE(upstream);
    m_upstream = std::move(*upstream);
    m_url = "http://" + m_upstream->Address();
  }

  void Control(const std::string& aJson)
  {
    ASSERT_EQ(HttpPost(m_url + "/control", aJson, kTimeout)->m_status, 200);
  }

  std::unique_ptr<UpstreamStandIn> m_upstream;
  std::string m_url;
};

// Guards against a response that a caller cannot verify. The body must not depend on the service
// prefix of the path.
TEST_F(UpstreamStandInTest, BodyIsDerivedFromTheRequest)
{
  Start();
  const auto response = HttpPost(m_url + "/s/tables-svc/a/b?bytes=70000", "body", kTimeout);
  ASSERT_TRUE(response);
  const ResponsePattern pattern("POST", "/a/b", XXH64("body", 4, 0), 70'000);
  EXPECT_EQ(response->m_body.size(), pattern.size());
  EXPECT_TRUE(pattern.Matches(0, response->m_body.data(), response->m_body.size()));
  EXPECT_FALSE(pattern.Matches(1, response->m_body.data(), response->m_body.size() - 1));
}

// Guards against rejected requests that are executed or whose response lacks the X-Refused header.
TEST_F(UpstreamStandInTest, ShedsBeyondItsSlots)
{
  UpstreamOptions options;
  options.m_slots = 1;
  options.m_serviceTime = kTimeout;
  Start(options);
  std::thread busy([this] { EXPECT_FALSE(HttpGet(m_url + "/long", kTimeout)); });
  EXPECT_TRUE(WaitFor([this] { return m_upstream->Stats()["executed"].asUInt() == 1; }, kTimeout));
  const auto shed = HttpGet(m_url + "/shed", kTimeout);
  ASSERT_TRUE(shed);
  EXPECT_EQ(shed->m_status, 503);
  EXPECT_NE(shed->m_headers.find("X-Refused: not-run"), std::string::npos);
  EXPECT_EQ(m_upstream->Stats()["executed"].asUInt(), 1u);
  EXPECT_EQ(m_upstream->Stats()["over_slots"].asUInt(), 1u);
  // Closes the connection of the running request.
  m_upstream.reset();
  busy.join();
}

// Guards against cancelled requests that keep occupying a slot.
TEST_F(UpstreamStandInTest, NoticesCancellation)
{
  UpstreamOptions options;
  options.m_slots = 1;
  options.m_serviceTime = kTimeout;
  Start(options);
  const auto cancelled = [this] {
    EXPECT_FALSE(HttpGet(m_url + "/long", milliseconds{ 50 }));
    return m_upstream->Stats()["cancelled"].asUInt() > 0;
  };
  EXPECT_TRUE(WaitFor(cancelled, kTimeout));
  EXPECT_TRUE(WaitFor([this] { return m_upstream->Stats()["in_flight"].asUInt() == 0; }, kTimeout));
  Control(R"({"service_ms":1})");
  EXPECT_EQ(HttpGet(m_url + "/next", kTimeout)->m_status, 200);
}

// Guards against injected faults that have no effect or also affect later requests.
TEST_F(UpstreamStandInTest, FaultsAffectOneRequest)
{
  Start();
  for (const char* fault : { R"({"close_next":1})", R"({"truncate_next":1})" }) {
    Control(fault);
    EXPECT_FALSE(HttpGet(m_url + "/x?bytes=100000", kTimeout)) << fault;
    EXPECT_EQ(HttpGet(m_url + "/x?bytes=100000", kTimeout)->m_status, 200) << fault;
  }
  EXPECT_EQ(HttpGet(m_url + "/x", kTimeout, { "X-Deadline-Ms: 0" })->m_status, 503);
  EXPECT_EQ(HttpGet(m_url + "/x", kTimeout, { "X-Deadline-Ms: 1" })->m_status, 504);
  EXPECT_EQ(m_upstream->Stats()["missed_deadlines"].asUInt(), 1u);
}

// Guards against an attempt id that is not returned, or returned correctly although a wrong one is
// requested, and against a cold start that is not slow or not reported.
TEST_F(UpstreamStandInTest, AttemptIdAndColdStart)
{
  UpstreamOptions options;
  options.m_serviceTime = milliseconds{ 20 };
  options.m_coldTime = kTimeout;
  options.m_coldFactor = 5;
  Start(options);
  EXPECT_EQ(HttpGet(m_url + "/health", kTimeout)->m_body, R"({"state":"warming"})");
  const auto started = std::chrono::steady_clock::now();
  const auto response = HttpGet(m_url + "/x", kTimeout, { "X-Attempt: 7" });
  EXPECT_GE(std::chrono::steady_clock::now() - started, milliseconds{ 100 });
  EXPECT_NE(response->m_headers.find("X-Attempt: 7\r\n"), std::string::npos);
  Control(R"({"wrong_attempt_next":1,"service_ms":1})");
  const auto wrong = HttpGet(m_url + "/x", kTimeout, { "X-Attempt: 7" });
  EXPECT_NE(wrong->m_headers.find("X-Attempt: 7-other\r\n"), std::string::npos);
}

// Guards against health and load reports that cannot be made stale, wrong or absent.
TEST_F(UpstreamStandInTest, ReportsCanBeWrong)
{
  Start();
  EXPECT_EQ(HttpGet(m_url + "/health", kTimeout)->m_body, R"({"state":"active"})");
  EXPECT_EQ(HttpGet(m_url + "/load", kTimeout)->m_body, R"({"in_flight":0,"slots":4})");
  Control(R"({"leaving":true,"load_error":3})");
  EXPECT_EQ(HttpGet(m_url + "/health", kTimeout)->m_body, R"({"state":"leaving"})");
  EXPECT_EQ(HttpGet(m_url + "/load", kTimeout)->m_body, R"({"in_flight":3,"slots":4})");
  Control(R"({"load_error":0,"load_lag_ms":3600000})");
  EXPECT_EQ(HttpGet(m_url + "/load", kTimeout)->m_body, R"({"in_flight":0,"slots":4})");
  Control(R"({"health":"active"})");
  EXPECT_EQ(HttpGet(m_url + "/health", kTimeout)->m_body, R"({"state":"active"})");
  Control(R"({"reports_stopped":true})");
  EXPECT_FALSE(HttpGet(m_url + "/load", kTimeout));
}

} // namespace
} // namespace jaylane::testing
