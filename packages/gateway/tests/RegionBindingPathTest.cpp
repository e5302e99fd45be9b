#include "GatewayFixture.h"

#include <boost/asio/write.hpp>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

/// Upstreams 0 and 1 are in region "r", 2 is in region "other".
class RegionBindingPathTest : public GatewayFixture
{
protected:
  /// @param aFirst regions of the route /a/ in the first configuration.
  void StartWith(const std::set<std::string>& aFirst)
  {
    Start({ m_first.Address(), m_second.Address() });
    OnRequestThread([&] {
      policy::Upstream other = MakeUpstream("i-2", m_other.Address(), 1);
      other.m_zone = "y";
      other.m_region = "other";
      m_steering->PutUpstream(other);
      m_steering->Tick();
    });
    SetRegions(aFirst);
  }

  /// Puts a configuration in force that allows other regions.
  void SetRegions(const std::set<std::string>& aRegions)
  {
    OnRequestThread([&] {
      policy::Configuration configuration = m_steering->Routes()->Config();
      ++configuration.m_version;
      configuration.m_routes[0].m_allowedRegions = aRegions;
      configuration.m_routes[0].m_attempts = 3;
      ASSERT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
    });
  }

  std::size_t SeenInOwnRegion() const { return m_first.Seen().size() + m_second.Seen().size(); }

  /// Rejects each request after a while.
  static Script RejectLater(const SeenRequest& aRequest)
  {
    Script script{ "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " +
                   aRequest.Header("Request-Id") +
                   "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    script.m_pause = 300ms;
    return script;
  }

  std::string ExchangeDuring(const std::function<void()>& aChange, const std::string& aLines = {})
  {
    auto socket = Connect();
    const std::string request = Request("/a/x", "r1", aLines + "Connection: close\r\n");
    boost::asio::write(socket, boost::asio::buffer(request));
    const auto deadline = std::chrono::steady_clock::now() + 2s;
    while (SeenInOwnRegion() == 0 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(5ms);
    }
    aChange();
    std::string response(2048, '\0');
    response.resize(socket.read_some(boost::asio::buffer(response)));
    return response;
  }

  std::function<Script(const SeenRequest&)> m_answer = RejectLater;
  ScriptedUpstream m_first{ [this](const SeenRequest& aRequest) { return m_answer(aRequest); } };
  ScriptedUpstream m_second{ [this](const SeenRequest& aRequest) { return m_answer(aRequest); } };
  ScriptedUpstream m_other{ [](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x") };
  } };
};

// Guards against a retry in a region that a newer version forbids: the request kept the regions of
// the version that was active when it arrived.
TEST_F(RegionBindingPathTest, ARetryIsBoundByVersionsThatCameMeanwhile)
{
  StartWith({ "r" });
  const std::string response = ExchangeDuring([this] { SetRegions({ "other" }); });
  EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(SeenInOwnRegion(), 1U);
  EXPECT_EQ(m_other.Seen().size(), 0U) << "forbidden when the request arrived";
}

// Guards against a retry budget that is used up by requests which are not sent again.
TEST_F(RegionBindingPathTest, ARejectedRetryTakesNothingFromTheBudget)
{
  m_settings.m_retryShare = 0;
  StartWith({ "r" });
  const auto remaining = [this] {
    policy::RetryBudget budget = m_steering->RetryBudget("s");
    int count = 0;
    while (budget.TryRetry(base::SystemClock::Get().Monotonic())) {
      ++count;
    }
    return count;
  };
  int before = 0;
  OnRequestThread([&] { before = remaining(); });
  EXPECT_GT(before, 0);
  const std::string response = ExchangeDuring([this] { SetRegions({ "other" }); });
  EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  OnRequestThread([&] { EXPECT_EQ(remaining(), before); });
  EXPECT_EQ(m_metrics.m_retries, 0U);
}

// Guards against rejecting requests that may still run somewhere.
TEST_F(RegionBindingPathTest, ARetryGoesToARegionThatAllVersionsAllow)
{
  StartWith({ "r", "other" });
  const std::string response = ExchangeDuring([this] { SetRegions({ "other" }); });
  EXPECT_EQ(Status(response), "HTTP/1.1 200 OK");
  EXPECT_EQ(SeenInOwnRegion(), 1U);
  EXPECT_EQ(m_other.Seen().size(), 1U);
}

// Guards against a hedged attempt in a region that a newer version forbids.
TEST_F(RegionBindingPathTest, AHedgeIsBoundByVersionsThatCameMeanwhile)
{
  m_answer = [](const SeenRequest& aRequest) {
    Script script{ OkResponse(aRequest, "x") };
    script.m_pause = 900ms;
    return script;
  };
  StartWith({});
  ExchangeDuring([this] { SetRegions({ "other" }); });
  EXPECT_EQ(SeenInOwnRegion(), 1U);
}

// Guards against restricted requests on a configuration that a cut-off or suspended VM holds on to
// after it has been replaced.
TEST_F(RegionBindingPathTest, AVmThatMayHaveMissedAVersionRejectsRestrictedRequests)
{
  m_answer = [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; };
  StartWith({ "r" });
  OnRequestThread([this] { m_context->m_mayServeRestricted = [] { return false; }; });
  const std::string response = Exchange(Request("/a/x", "r1", "Connection: close\r\n"));
  EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(SeenInOwnRegion(), 0U);
  EXPECT_EQ(Status(Exchange(Request("/b/x", "r2", "Connection: close\r\n"))), "HTTP/1.1 200 OK");
}

// Guards against a retry in a region that a version between the arrival and the retry forbade.
TEST_F(RegionBindingPathTest, ARetryIsBoundByAVersionThatHasBeenReplacedAgain)
{
  StartWith({ "r" });
  ExchangeDuring([this] {
    SetRegions({ "other" });
    SetRegions({ "r" });
  });
  EXPECT_EQ(SeenInOwnRegion(), 1U);
}

// A version that restricts a route waits for the request thread. Guards against a retry that
// neither waits for that version nor is bound by it.
TEST_F(RegionBindingPathTest, ARetryIsBoundByAVersionThatWaitsForTheThread)
{
  StartWith({});
  ExchangeDuring([this] {
    OnRequestThread([this] {
      const auto isPending = std::make_shared<bool>(true);
      m_context->m_mayServeRestricted = [isPending] { return !*isPending; };
      m_context->m_applyConfigurations = [this, isPending] {
        if (!std::exchange(*isPending, false)) {
          return;
        }
        policy::Configuration configuration = m_steering->Routes()->Config();
        ++configuration.m_version;
        configuration.m_routes[0].m_allowedRegions = { "other" };
        EXPECT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
      };
    });
  });
  EXPECT_EQ(SeenInOwnRegion(), 1U);
}

// A route was public when the request arrived, and needs a key when it is retried. Guards against a
// retry in a region that the team of the request's key does not allow.
TEST_F(RegionBindingPathTest, ARetryIsBoundByTheTeamOfItsKeyInTheNewVersion)
{
  StartWith({});
  const auto setPublic = [this](bool aIsPublic) {
    OnRequestThread([&] {
      policy::Configuration configuration = m_steering->Routes()->Config();
      ++configuration.m_version;
      policy::Team& team = configuration.m_teams.emplace(1).front();
      team.m_name = "owls";
      team.m_apiKeys = { "good" };
      team.m_allowedRegions = { "other" };
      configuration.m_routes[0].m_isPublic = aIsPublic;
      ASSERT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
    });
  };
  setPublic(true);
  ExchangeDuring([&] { setPublic(false); }, "Authorization: Bearer good\r\n");
  EXPECT_EQ(SeenInOwnRegion(), 1U);
}

} // namespace
} // namespace jaylane::gateway
