#include "GatewayFixture.h"

namespace jaylane::gateway {
namespace {

/// Requests on a route that only region "r" may run. The entries of upstreams change.
class UpstreamPlaceTest : public GatewayFixture
{
protected:
  void SetUp() override
  {
    Start({ m_near.Address() });
    OnRequestThread([this] {
      policy::Configuration configuration = m_steering->Routes()->Config();
      configuration.m_version = 2;
      configuration.m_services["s"].m_healthPath = "/health";
      for (policy::Route& route : configuration.m_routes) {
        route.m_allowedRegions = { "r" };
      }
      ASSERT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
    });
  }

  static Script Respond(const SeenRequest& aRequest) { return { OkResponse(aRequest, "x") }; }

  static policy::Upstream FarUpstream(const std::string& aId, const std::string& aAddress)
  {
    policy::Upstream upstream = MakeUpstream(aId, aAddress, 10);
    upstream.m_zone = "far-zone";
    upstream.m_region = "far";
    return upstream;
  }

  std::string Get(const std::string& aId) { return Status(Exchange(Request("/a/x", aId))); }

  ScriptedUpstream m_near{ Respond };
  ScriptedUpstream m_other{ Respond };
};

// An entry comes again with another region and address, and the balancers are not updated yet.
// Guards against a restricted request to where the upstream was.
TEST_F(UpstreamPlaceTest, AnEntryThatHasMovedGetsNothingAtItsFormerPlace)
{
  OnRequestThread([this] { m_steering->PutUpstream(FarUpstream("i-0", m_other.Address())); });
  EXPECT_EQ(Get("r1"), "HTTP/1.1 503 Service Unavailable");
  EXPECT_TRUE(m_near.Seen().empty());
  EXPECT_TRUE(m_other.Seen().empty());
}

// An upstream starts again under its id at another address, while the process that had the id
// still keeps its connections. Guards against requests to the former process.
TEST_F(UpstreamPlaceTest, AKeptConnectionIsNotUsedForAnotherIncarnation)
{
  EXPECT_EQ(Get("r1"), "HTTP/1.1 200 OK");
  OnRequestThread([this] {
    EXPECT_EQ(m_pool.size(), 1U);
    policy::Upstream upstream = MakeUpstream("i-0", m_other.Address(), 10);
    upstream.m_startedAtMs = 5;
    m_steering->PutUpstream(upstream);
    m_steering->Tick();
  });
  EXPECT_EQ(Get("r2"), "HTTP/1.1 200 OK");
  EXPECT_EQ(m_near.Seen().size(), 1U);
  EXPECT_EQ(m_other.Seen().size(), 1U);
}

} // namespace
} // namespace jaylane::gateway
