#include "GatewayFixture.h"

#include <boost/asio/write.hpp>

namespace jaylane::gateway {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr const char* kGoodKey = "Authorization: Bearer good\r\n";

class TeamAccessTest : public GatewayFixture
{
protected:
  /// Starts with the team "owls", whose key is "good", and with /b/ as a public route.
  void StartWithTeam()
  {
    Start({ m_upstream.Address() });
    Change([](policy::Configuration& aConfiguration) {
      policy::Team& team = aConfiguration.m_teams.emplace(1).front();
      team.m_name = "owls";
      team.m_apiKeys = { "good" };
      aConfiguration.m_routes[1].m_isPublic = true;
    });
  }

  /// Puts a changed configuration in force.
  void Change(const std::function<void(policy::Configuration&)>& aChange)
  {
    OnRequestThread([&] {
      policy::Configuration configuration = m_steering->Routes()->Config();
      ++configuration.m_version;
      aChange(configuration);
      ASSERT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
    });
  }

  static std::string ReadResponse(asio::ip::tcp::socket& aSocket)
  {
    std::string response(2048, '\0');
    response.resize(aSocket.read_some(asio::buffer(response)));
    return response;
  }

  ScriptedUpstream m_upstream{ [](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x") };
  } };
};

// Guards against passing on a key, and against a caller that claims to be of another team.
TEST_F(TeamAccessTest, TheUpstreamGetsTheTeamAndNoKey)
{
  StartWithTeam();
  auto socket = Connect();
  const std::string claims = "tENANT: cats\r\nTenant: dogs\r\n";
  for (const std::string& request :
       { Request("/a/x", "r1", claims + "authorization: Bearer good\r\n"),
         Request("/b/x", "r2", claims + kGoodKey),
         Request("/b/x", "r4", "Authorization: Bearer removed\r\n"),
         Request("/b/x", "r3", "Authorization: Basic other\r\n") }) {
    asio::write(socket, asio::buffer(request));
    EXPECT_EQ(Status(ReadResponse(socket)), "HTTP/1.1 200 OK") << request;
  }
  const auto seen = m_upstream.Seen();
  ASSERT_EQ(seen.size(), 4U);
  EXPECT_EQ(seen[0].Header("Tenant"), "owls");
  EXPECT_EQ(seen[1].Header("Tenant"), "") << "public";
  for (const SeenRequest& request : seen) {
    EXPECT_EQ(request.m_head.find("good"), std::string::npos) << request.m_head;
    EXPECT_EQ(request.m_head.find("cats"), std::string::npos) << request.m_head;
    EXPECT_EQ(request.m_head.find("dogs"), std::string::npos) << request.m_head;
  }
  EXPECT_EQ(seen[2].Header("Authorization"), "") << "a key that no team has any more";
  EXPECT_EQ(seen[3].Header("Authorization"), "Basic other") << "no key of a team";
}

// Guards against running requests without a key, and against closing connections for them.
TEST_F(TeamAccessTest, RequestsWithoutAValidKeyAreRejected)
{
  StartWithTeam();
  auto socket = Connect();
  for (const std::string& lines : std::vector<std::string>{ "",
                                                            "Authorization: Bearer goo\r\n",
                                                            "Authorization: Bearer GOOD\r\n",
                                                            "Authorization: Basic good\r\n",
                                                            "Authorization: good\r\n",
                                                            "Authorization:\r\n",
                                                            std::string{ kGoodKey } + kGoodKey }) {
    asio::write(socket, asio::buffer(Request("/a/x", "r1", lines)));
    const std::string response = ReadResponse(socket);
    EXPECT_EQ(Status(response), "HTTP/1.1 401 Unauthorized") << lines;
    EXPECT_NE(response.find("WWW-Authenticate: Bearer\r\n"), std::string::npos);
    EXPECT_EQ(response.find("Connection: close"), std::string::npos);
  }
  EXPECT_TRUE(m_upstream.Seen().empty());
  asio::write(socket, asio::buffer(Request("/a/x", "r2", kGoodKey)));
  EXPECT_EQ(Status(ReadResponse(socket)), "HTTP/1.1 200 OK");
  EXPECT_EQ(Status(Exchange(Request("/c/x", "r3", "Connection: close\r\n"))),
            "HTTP/1.1 404 Not Found");
  OnRequestThread([this] { EXPECT_EQ(m_metrics.m_outcomes["unauthorized"], 7U); });
}

// Guards against memory for bodies of callers that may not send any.
TEST_F(TeamAccessTest, TheBodyOfARejectedRequestIsNotRead)
{
  StartWithTeam();
  const std::string head =
    "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: 900\r\n";
  for (const char* further : { "\r\n", "Expect: 100-continue\r\n\r\n", "\r\nbegin" }) {
    const std::string response = Exchange(head + further);
    EXPECT_EQ(Status(response), "HTTP/1.1 401 Unauthorized");
    EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos);
  }
  EXPECT_EQ(
    Status(Exchange("POST /a/x HTTP/1.1\r\nHost: h\r\nHost: h\r\nContent-Length: 9\r\n\r\n")),
    "HTTP/1.1 400 Bad Request");
  // The next request must not be taken for the rest of the body, or the other way round.
  EXPECT_EQ(Exchange(head + "\r\n" + Request("/b/x", "r2")).find("r2"), std::string::npos);
  EXPECT_TRUE(m_upstream.Seen().empty());
  OnRequestThread([this] { EXPECT_EQ(m_bodyBudget.Used(), 0U); });
}

// Guards against a key that goes on working on open connections, or for a request whose body was
// being read, after a new version has taken it away.
TEST_F(TeamAccessTest, ANewVersionAppliesToOpenConnectionsAndHalfReadRequests)
{
  StartWithTeam();
  auto idle = Connect();
  asio::write(idle, asio::buffer(Request("/a/x", "r1", kGoodKey)));
  EXPECT_EQ(Status(ReadResponse(idle)), "HTTP/1.1 200 OK");
  auto uploading = Connect();
  const std::string head =
    "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nContent-Length: 6\r\n";
  asio::write(uploading, asio::buffer(head + kGoodKey + "\r\nabc"));
  std::this_thread::sleep_for(100ms);
  Change([](policy::Configuration& aConfiguration) {
    aConfiguration.m_teams->front().m_apiKeys = { "new" };
  });
  asio::write(uploading, asio::buffer(std::string("def")));
  const std::string response = ReadResponse(uploading);
  EXPECT_EQ(Status(response), "HTTP/1.1 401 Unauthorized");
  EXPECT_EQ(response.find("Connection: close"), std::string::npos);
  asio::write(idle, asio::buffer(Request("/a/x", "r3", kGoodKey)));
  EXPECT_EQ(Status(ReadResponse(idle)), "HTTP/1.1 401 Unauthorized");
  asio::write(idle, asio::buffer(Request("/a/x", "r4", "Authorization: Bearer new\r\n")));
  EXPECT_EQ(Status(ReadResponse(idle)), "HTTP/1.1 200 OK");
  EXPECT_EQ(m_upstream.Seen().size(), 2U);
}

// Guards against a 401 for a key that a newer version may have added: callers do not repeat it.
TEST_F(TeamAccessTest, AnUnknownKeyIsUnavailableWhileTheConfigurationIsUnconfirmed)
{
  StartWithTeam();
  OnRequestThread([this] { m_context->m_isConfigurationConfirmed = [] { return false; }; });
  const std::string head = "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n";
  for (const std::string& request : { Request("/a/x", "r1", "Connection: close\r\n"), head }) {
    const std::string response = Exchange(request);
    EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  }
  EXPECT_EQ(
    Status(Exchange(Request("/a/x", "r2", kGoodKey + std::string{ "Connection: close\r\n" }))),
    "HTTP/1.1 200 OK");
}

// Guards against running a request outside the regions of its team, or anywhere if route and team
// have none in common.
TEST_F(TeamAccessTest, RegionsOfRouteAndTeamBothApply)
{
  StartWithTeam();
  const std::string request =
    Request("/a/x", "r1", kGoodKey + std::string{ "Connection: close\r\n" });
  for (const auto& [route, team, status] :
       std::vector<std::tuple<std::set<std::string>, std::set<std::string>, std::string>>{
         { {}, { "other" }, "HTTP/1.1 503 Service Unavailable" },
         { { "r" }, { "other" }, "HTTP/1.1 503 Service Unavailable" },
         { { "r", "other" }, { "r" }, "HTTP/1.1 200 OK" } }) {
    Change([&routeRegions = route, &teamRegions = team](policy::Configuration& aConfiguration) {
      aConfiguration.m_routes[0].m_allowedRegions = routeRegions;
      aConfiguration.m_teams->front().m_allowedRegions = teamRegions;
    });
    EXPECT_EQ(Status(Exchange(request)), status);
  }
  EXPECT_EQ(m_upstream.Seen().size(), 1U);
}

// Guards against changes for deployments without teams.
TEST_F(TeamAccessTest, WithoutTeamsTheHeadersArePassedOn)
{
  Start({ m_upstream.Address() });
  OnRequestThread([this] { m_context->m_isConfigurationConfirmed = [] { return false; }; });
  const std::string lines = "tENANT: cats\r\nTenant: dogs\r\nAuthorization: Bearer good\r\n";
  EXPECT_EQ(Status(Exchange(Request("/a/x", "r1", lines + "Connection: close\r\n"))),
            "HTTP/1.1 200 OK");
  const SeenRequest seen = m_upstream.Seen().at(0);
  EXPECT_EQ(seen.m_head,
            "GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n" + lines +
              "Timeout-Ms: " + seen.Header("Timeout-Ms") + "\r\nTarget-Instance: i-0\r\n\r\n");
}

// A configuration that introduces teams waits for the request thread while a request is read.
// Guards against a request that is read by the former version and judged by the new one: it was
// rejected as if it had no key, and a public route passed on its key and the team that it claims.
TEST_F(TeamAccessTest, ARequestThatAppliesTheFirstTeamsIsReadByThem)
{
  Start({ m_upstream.Address() });
  for (const char* target : { "/a/x", "/b/x" }) {
    OnRequestThread([this] {
      // The version without teams, in force again for each request.
      policy::Configuration plain = m_steering->Routes()->Config();
      ++plain.m_version;
      plain.m_teams.reset();
      ASSERT_TRUE(m_steering->ApplyConfiguration(std::move(plain)));
      m_context->m_applyConfigurations = [this] {
        if (m_steering->Routes()->Config().m_teams) {
          return;
        }
        policy::Configuration configuration = m_steering->Routes()->Config();
        ++configuration.m_version;
        policy::Team& team = configuration.m_teams.emplace(1).front();
        team.m_name = "owls";
        team.m_apiKeys = { "good" };
        configuration.m_routes[1].m_isPublic = true;
        EXPECT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
      };
    });
    EXPECT_EQ(Status(Exchange(Request(
                target, "r1", std::string{ kGoodKey } + "Tenant: dogs\r\nConnection: close\r\n"))),
              "HTTP/1.1 200 OK")
      << target;
  }
  for (const SeenRequest& request : m_upstream.Seen()) {
    EXPECT_EQ(request.m_head.find("good"), std::string::npos) << request.m_head;
    EXPECT_EQ(request.m_head.find("dogs"), std::string::npos) << request.m_head;
  }
}

} // namespace
} // namespace jaylane::gateway
