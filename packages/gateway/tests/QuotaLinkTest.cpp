#include "QuotaLink.h"

#include "jaylane/base/JsonText.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

Json::Value ParamsOf(const std::string& aText)
{
  return base::ParseJson(aText).Value()["params"];
}

// Guards against fields that are lost on the way, and against datagrams of more than 1,200 bytes.
TEST(QuotaLinkTest, MessagesKeepTheirFields)
{
  policy::QuotaReport report{ "vm-a", 1, 2, 3, 4, 5ms, 6, 7ms, { { "team", 1, 2, 3, 4 } } };
  const auto read = detail::ReadQuotaReport(ParamsOf(detail::WriteQuotaMessage(report)));
  ASSERT_TRUE(read);
  EXPECT_EQ(detail::WriteQuotaMessage(*read), detail::WriteQuotaMessage(report));
  const policy::QuotaGrant grant{ 1, 2, 3, 4ms, true, "vm-b", { { "team", 5, 6ms } } };
  const auto readGrant = detail::ReadQuotaGrant(ParamsOf(detail::WriteQuotaMessage(grant)));
  ASSERT_TRUE(readGrant);
  EXPECT_EQ(detail::WriteQuotaMessage(*readGrant), detail::WriteQuotaMessage(grant));

  base::ManualClock clock;
  policy::QuotaClient client("vm-with-a-long-name", 4000000000, clock.Monotonic());
  std::vector<policy::TeamQuota> quotas;
  for (int i = 0; i < 100; ++i) {
    quotas.push_back({ "team-" + std::to_string(i), 100, 100 });
  }
  client.SetQuotas(quotas, clock.Monotonic());
  client.SetFleet({ { "b", std::nullopt } }, 300);
  for (const auto& quota : quotas) {
    for (int i = 0; i < 200; ++i) {
      client.Admit(quota.m_team, clock.Monotonic());
    }
  }
  std::size_t teams = 0;
  for (const auto& outgoing : client.TakeReports(clock.Monotonic())) {
    EXPECT_LE(detail::WriteQuotaMessage(outgoing.m_report).size(), 1200U);
    teams += outgoing.m_report.m_teams.size();
  }
  EXPECT_EQ(teams, quotas.size());
}

// Guards against a process that ends, or credits that appear, because of a malformed datagram.
TEST(QuotaLinkTest, MalformedMessagesAreIgnored)
{
  base::ManualClock clock;
  base::AsyncLog log{ "t", clock, { 64, 1000, [](std::string_view) {} } };
  int grants = 0;
  int replies = 0;
  QuotaLink link("a",
                 1,
                 clock,
                 log,
                 { [](const std::string&, const std::string&) {},
                   [&](const policy::QuotaGrant&) { ++grants; } });
  const auto reply = [&](const std::string&) { ++replies; };
  const auto report =
    ParamsOf(detail::WriteQuotaMessage(policy::QuotaReport{ "b", 1, 1, 0, 0, 0ms, 0, 0ms, {} }));
  EXPECT_TRUE(link.OnMessage("quota_report", report, reply));
  EXPECT_EQ(replies, 0) << "there are no quotas";
  link.SetQuotas({ { "team", 1, 1 } });
  for (const char* text : { "1",
                            "{}",
                            "[]",
                            R"(["b",1,1,0,0,0,0,0])",
                            R"(["b",1,1,0,0,0,0,0,[1]])",
                            R"(["b",-1,1,0,0,0,0,0,[]])",
                            R"([1,1,1,0,0,0,0,0,[]])",
                            R"(["b",1,1,0,0,0,0,0,[["team",1,0,1]]])",
                            R"([1,1,1,1,1,1,[]])",
                            R"([1,1,1,1,1,"",[["team",1e30,0]]])" }) {
    const Json::Value params = base::ParseJson(text).Value();
    EXPECT_TRUE(link.OnMessage("quota_report", params, reply)) << text;
    EXPECT_TRUE(link.OnMessage("quota_grant", params, reply)) << text;
  }
  EXPECT_EQ(replies, 0);
  EXPECT_EQ(grants, 0);
  EXPECT_TRUE(link.OnMessage("quota_report", report, reply));
  EXPECT_EQ(replies, 1);
  EXPECT_FALSE(link.OnMessage("other", report, reply));
}

} // namespace
} // namespace jaylane::gateway
