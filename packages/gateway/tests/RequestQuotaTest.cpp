#include "GatewayFixture.h"
#include "RequestExchange.h"

#include <future>

namespace jaylane::gateway {

using namespace std::chrono_literals;
using policy::QuotaClient;

/// Requests of a team, whose quota broker is the test.
class RequestQuotaTest : public GatewayFixture
{
protected:
  void StartWithQuota(const std::vector<std::string>& aUpstreams)
  {
    Start(aUpstreams);
    OnRequestThread([this] {
      m_gate = std::make_unique<QuotaGate>(
        m_io,
        "vm",
        1,
        base::SystemClock::Get(),
        m_log,
        m_metrics,
        [this](const std::vector<QuotaClient::Outgoing>& aReports, const std::string&) {
          for (const auto& outgoing : aReports) {
            m_lastReport = outgoing.m_report;
            Answer();
          }
        });
      m_context->m_quotas = m_gate.get();
      m_gate->SetFleet({ { "broker", std::nullopt } }, 30);
      policy::Configuration configuration = m_steering->Routes()->Config();
      ++configuration.m_version;
      configuration.m_teams.emplace().push_back(m_team);
      ASSERT_TRUE(m_steering->ApplyConfiguration(configuration));
      EXPECT_TRUE(m_gate->SetConfiguration(configuration));
      EXPECT_FALSE(m_gate->SetConfiguration(configuration)) << "nothing has changed";
    });
  }
  ~RequestQuotaTest() override
  {
    OnRequestThread([this] {
      m_context->m_quotas = nullptr;
      m_gate.reset();
    });
  }

  /// Grants what is left of m_credits, unless m_credits is empty.
  void Answer()
  {
    if (!m_credits || m_lastReport.m_teams.empty()) {
      return;
    }
    const std::uint32_t granted = std::min(*m_credits, m_lastReport.m_teams[0].m_wanted);
    *m_credits -= granted;
    const auto retryAfter = granted < m_lastReport.m_teams[0].m_wanted ? 300ms : 0ms;
    boost::asio::post(m_io, [this, number = m_lastReport.m_number, granted, retryAfter] {
      if (m_gate) {
        m_gate->OnGrant({ 1, number, 9, 1ms, true, {}, { { "t", granted, retryAfter } } });
      }
    });
  }

  /// @return the response to a request of the team; status 0 if it was cancelled.
  /// @param aCancelAfter time after which the caller leaves.
  CallerResponse Send(const std::string& aId,
                      std::optional<std::chrono::milliseconds> aCancelAfter = std::nullopt)
  {
    CallerRequest request;
    request.m_id = aId;
    request.m_method = "GET";
    request.m_target = "/b/x";
    request.m_host = "h";
    request.m_apiKey = m_team.m_apiKeys.front();
    request.m_receivedAt = base::SystemClock::Get().Monotonic();
    std::promise<void> done;
    std::shared_ptr<RequestExchange> exchange;
    OnRequestThread([&] {
      exchange = std::make_shared<RequestExchange>(
        *m_context,
        std::move(request),
        RequestExchange::Hooks{ [&] { done.set_value(); }, [] { return false; } });
      exchange->Start();
    });
    if (aCancelAfter) {
      std::this_thread::sleep_for(*aCancelAfter);
      OnRequestThread([&] { exchange->Cancel(); });
    } else {
      done.get_future().wait();
    }
    CallerResponse response;
    OnRequestThread([&] {
      response = std::move(exchange->Response());
      exchange.reset();
    });
    return response;
  }

  policy::Team m_team{ "t", std::nullopt, {}, 10, 10, { "key" } };
  ScriptedUpstream m_upstream{ [](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x") };
  } };
  std::unique_ptr<QuotaGate> m_gate;
  policy::QuotaReport m_lastReport;
  std::optional<std::uint32_t> m_credits;
};

// Guards against requests beyond the quota that run, or are rejected as if the VM were overloaded.
TEST_F(RequestQuotaTest, RequestsBeyondTheQuotaGet429)
{
  m_credits = 1;
  StartWithQuota({ m_upstream.Address() });
  EXPECT_EQ(Send("r1").m_status, 200U) << "it waits for the broker";
  const CallerResponse rejected = Send("r2");
  EXPECT_EQ(rejected.m_status, 429U);
  EXPECT_EQ(rejected.m_reason, "Too Many Requests");
  EXPECT_NE(rejected.m_headerLines.find("Retry-After: 0."), std::string::npos);
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Send("r3").m_status, 429U);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 100ms) << "the broker has said so";
  EXPECT_EQ(m_upstream.Seen().size(), 1U);
  OnRequestThread([this] {
    EXPECT_EQ(m_metrics.m_outcomes["over_quota"], 2U);
    EXPECT_EQ(m_metrics.m_quotaAdmitted, 1U);
    EXPECT_EQ(m_metrics.m_quotaRejected, 2U);
  });
}

// Guards against requests that hang, or keep their place after their caller has left, while the
// broker does not answer.
TEST_F(RequestQuotaTest, AnAnswerIsAwaitedForABoundedTime)
{
  StartWithQuota({ m_upstream.Address() });
  EXPECT_EQ(Send("r1", 20ms).m_status, 0U);
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Send("r2").m_status, 429U);
  EXPECT_GE(std::chrono::steady_clock::now() - start, 100ms);
  EXPECT_TRUE(m_upstream.Seen().empty());
  OnRequestThread([this] { EXPECT_EQ(m_metrics.m_quotaRejected, 1U) << "the other caller left"; });
}

// Guards against a quota that is used up by requests which did not run.
TEST_F(RequestQuotaTest, RequestsThatDidNotRunGiveTheirCreditBack)
{
  m_credits = 1;
  StartWithQuota({});
  EXPECT_EQ(Send("r1").m_status, 503U);
  EXPECT_EQ(Send("r2").m_status, 503U) << "admitted by the credit of r1";
  OnRequestThread([this] { EXPECT_EQ(m_metrics.m_quotaHeld, 1U); });
}

} // namespace jaylane::gateway
