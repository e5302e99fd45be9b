#include "GatewayFixture.h"

#include <algorithm>
#include <fmt/format.h>

namespace jaylane::gateway {
namespace {

/// Requests on a route that only region "r" may run. The entries of upstreams change.
class UpstreamPlaceTest : public GatewayFixture
{
protected:
  void SetUp() override
  {
    m_wire.m_parseHealth = [](unsigned aStatus, const boost::beast::http::fields& aFields) {
      const auto id = aFields["Instance-Id"];
      return aStatus == 200 ? std::optional{ WireFormat::Health{ { id.data(), id.size() }, {} } }
                            : std::nullopt;
    };
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

  /// Responds to requests and health checks.
  Script Respond(const SeenRequest& aRequest) const
  {
    if (!aRequest.m_head.starts_with("GET /health ")) {
      return { OkResponse(aRequest, "x") };
    }
    return { fmt::format("HTTP/1.1 {} x\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                         m_healthStatus.load(),
                         m_isPassedOn ? "i-1" : "i-0"),
             false,
             false,
             std::chrono::milliseconds{ m_healthDelayMs.load() } };
  }

  /// @return the response of an upstream that the request was not meant for.
  static Script Misdirected(const SeenRequest& aRequest)
  {
    return { "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + aRequest.Header("Request-Id") +
             "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
  }

  /// @return number of requests, without health checks, that reached the first upstream's address.
  std::size_t RequestsAtNear() const
  {
    const auto seen = m_near.Seen();
    return static_cast<std::size_t>(std::ranges::count_if(
      seen, [](const SeenRequest& aRequest) { return !aRequest.Header("Request-Id").empty(); }));
  }

  static policy::Upstream FarUpstream(const std::string& aId, const std::string& aAddress)
  {
    policy::Upstream upstream = MakeUpstream(aId, aAddress, 10);
    upstream.m_zone = "far-zone";
    upstream.m_region = "far";
    return upstream;
  }

  std::string Get(const std::string& aId) { return Status(Exchange(Request("/a/x", aId))); }

  /// What health checks get.
  std::atomic<unsigned> m_healthStatus{ 200 };
  std::atomic<bool> m_isPassedOn{ false };
  std::atomic<int> m_healthDelayMs{ 0 };
  ScriptedUpstream m_near{ [this](const SeenRequest& aRequest) { return Respond(aRequest); } };
  ScriptedUpstream m_other{ [this](const SeenRequest& aRequest) { return Respond(aRequest); } };
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

// An upstream's address was passed on, and a new incarnation registers under its id. Guards against
// an upstream that is never used, and against using the former incarnation again.
TEST_F(UpstreamPlaceTest, AReplacedUpstreamReturnsAsAnotherIncarnationOnly)
{
  ScriptedUpstream replaced([](const SeenRequest& aRequest) { return Misdirected(aRequest); });
  const auto put = [this](const std::string& aAddress, std::int64_t aStartedAtMs, int aRevision) {
    OnRequestThread([&] {
      policy::Upstream upstream = MakeUpstream("i-0", aAddress, aRevision);
      upstream.m_startedAtMs = aStartedAtMs;
      m_steering->PutUpstream(upstream);
      m_steering->Tick();
    });
  };
  put(replaced.Address(), 1, 10);
  EXPECT_EQ(Get("r1"), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(replaced.Seen().size(), 1U);
  put(replaced.Address(), 1, 11);
  EXPECT_EQ(Get("r2"), "HTTP/1.1 503 Service Unavailable");
  OnRequestThread([&] {
    m_steering->RemoveUpstream("i-0", 12);
    m_steering->Tick();
  });
  put(replaced.Address(), 1, 13);
  EXPECT_EQ(Get("r3"), "HTTP/1.1 503 Service Unavailable") << "a late copy of its entry";
  EXPECT_EQ(replaced.Seen().size(), 1U);
  put(m_other.Address(), 2, 14);
  EXPECT_EQ(Get("r4"), "HTTP/1.1 200 OK");
  OnRequestThread([&] {
    const policy::Upstream former = MakeUpstream("i-0", replaced.Address(), 13);
    m_steering->OnAddressReused(policy::UpstreamIdentity::Of(former));
    m_steering->Tick();
  });
  EXPECT_EQ(Get("r5"), "HTTP/1.1 200 OK") << "a late response to a request of the former one";
}

// An upstream crashes, and one in another region registers with its address before the entry of the
// former has ended. Guards against restricted requests that reach the other region.
TEST_F(UpstreamPlaceTest, AnAddressThatWasPassedOnGetsNothingForItsFormerUpstream)
{
  policy::Upstream unusable = FarUpstream("unusable", m_near.Address());
  unusable.m_service = "no such service";
  const auto put = [this](const policy::Upstream& aUpstream) {
    OnRequestThread([&] {
      m_steering->PutUpstream(aUpstream);
      m_steering->Tick();
    });
  };
  put(unusable);
  EXPECT_EQ(Get("r1"), "HTTP/1.1 200 OK") << "another entry must not take an upstream out of use";
  put(FarUpstream("i-1", m_near.Address()));
  EXPECT_EQ(Get("r2"), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(m_near.Seen().size(), 1U);
  OnRequestThread([this] {
    EXPECT_TRUE(m_steering->MayReceive("i-1"));
    EXPECT_TRUE(m_steering->TakeDueProbes().empty()) << "it may be cold, and the former entry ends";
    m_steering->RemoveUpstream("i-1", 11);
    m_steering->Tick();
  });
  EXPECT_EQ(Get("r3"), "HTTP/1.1 200 OK") << "the other entry was wrong";
}

// Another entry states the address of a live upstream and stays. Guards against an upstream that
// never gets requests again.
TEST_F(UpstreamPlaceTest, AProbeConfirmsAnUpstreamWhoseAddressAnotherEntryStates)
{
  m_settings.m_heartbeat = std::chrono::milliseconds{ 50 };
  OnRequestThread([this] {
    m_steering->PutUpstream(FarUpstream("wrong", m_near.Address()));
    m_steering->Tick();
  });
  std::this_thread::sleep_for(std::chrono::milliseconds{ 250 });
  OnRequestThread([this] {
    const auto due = m_steering->TakeDueProbes();
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].m_upstream.m_id, "i-0");
    EXPECT_EQ(due[0].m_healthPath, "/health");
    EXPECT_FALSE(m_steering->MayReceive("i-0"));
    m_steering->OnIdentityConfirmed(due[0].m_upstream);
    EXPECT_FALSE(m_steering->MayReceive("wrong"));
  });
  EXPECT_EQ(Get("r1"), "HTTP/1.1 200 OK");
}

// A region is cut off, and the address of one of its upstreams was passed on. Guards against taking
// the response of another upstream for a sign that the region can be reached.
TEST_F(UpstreamPlaceTest, AResponseOfAnotherUpstreamDoesNotEndACut)
{
  ScriptedUpstream replaced([](const SeenRequest& aRequest) { return Misdirected(aRequest); });
  const auto hasFarKeys = [this] {
    policy::ServiceBalancer::Query query;
    query.m_hasAffinity = true;
    query.m_remaining = std::chrono::milliseconds{ 2000 };
    query.m_targetLatency = std::chrono::milliseconds{ 400 };
    bool hasFar = false;
    for (int i = 0; i < 100; ++i) {
      query.m_key += 0x9E3779B97F4A7C15;
      const auto choice =
        m_steering->Balancer("s").Choose(query, base::SystemClock::Get().Monotonic());
      hasFar |= choice.m_upstream && choice.m_upstream->m_region == "far";
    }
    return hasFar;
  };
  const auto fail = [this](int aNumber) {
    const std::string id = fmt::format("lost-{}", aNumber);
    m_steering->PutUpstream(FarUpstream(id, fmt::format("127.0.0.1:{}", aNumber)));
    m_steering->Tick();
    m_steering->OnUnreachable(id);
  };
  OnRequestThread([&] {
    policy::Configuration configuration = m_steering->Routes()->Config();
    configuration.m_version = 3;
    configuration.m_routes[0].m_allowedRegions = { "far" };
    ASSERT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
    m_steering->PutUpstream(FarUpstream("replaced", replaced.Address()));
    for (int i = 1; i <= 3; ++i) {
      fail(i);
    }
  });
  EXPECT_EQ(Get("r1"), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(replaced.Seen().size(), 1U);
  OnRequestThread([&] {
    m_steering->PutUpstream(FarUpstream("far", m_other.Address()));
    m_steering->Tick();
    EXPECT_TRUE(hasFarKeys());
    fail(4);
    EXPECT_FALSE(hasFarKeys()) << "cut off after four failures without a response";
  });
}

// The store is down, and an upstream's address goes to one in another region, which cannot
// register. Guards against a restricted request that reaches the other region.
TEST_F(UpstreamPlaceTest, DuringAnOutageOfTheStoreTheUpstreamMustNameItself)
{
  OnRequestThread([this] { m_steering->OnStoreReachable(false); });
  EXPECT_EQ(Get("r1"), "HTTP/1.1 200 OK");
  EXPECT_EQ(m_near.Seen().size(), 2U) << "health check and request";
  EXPECT_EQ(Get("r2"), "HTTP/1.1 200 OK");
  EXPECT_EQ(m_near.Seen().size(), 3U) << "the kept connection leads to the same process";
  OnRequestThread([this] { m_pool.Drop("i-0"); });
  m_healthStatus = 503;
  EXPECT_EQ(Get("r3"), "HTTP/1.1 503 Service Unavailable") << "does not tell who runs there";
  m_healthStatus = 200;
  m_healthDelayMs = 800;
  EXPECT_EQ(Get("r5"), "HTTP/1.1 503 Service Unavailable") << "busy";
  m_healthDelayMs = 0;
  EXPECT_EQ(Get("r6"), "HTTP/1.1 200 OK") << "must not be out of use";
  OnRequestThread([this] { m_pool.Drop("i-0"); });
  m_isPassedOn = true;
  EXPECT_EQ(Get("r4"), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(RequestsAtNear(), 3U);
  OnRequestThread([this] { EXPECT_FALSE(m_steering->MayReceive("i-0")) << "replaced"; });
}

// During an outage of the store no upstream accepts more. Guards against one request that sends
// health checks to all of them.
TEST_F(UpstreamPlaceTest, FewUpstreamsAreAskedForTheirNamesByOneRequest)
{
  m_healthStatus = 503;
  OnRequestThread([this] {
    for (const char* id : { "i-1", "i-2", "i-3", "i-4" }) {
      m_steering->PutUpstream(MakeUpstream(id, m_other.Address(), 10));
    }
    m_steering->Tick();
    m_steering->OnStoreReachable(false);
  });
  EXPECT_EQ(Get("r1"), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(m_near.Seen().size() + m_other.Seen().size(), 3U);
}

// A response is overdue. Guards against a second attempt at an upstream whose address was passed
// on.
TEST_F(UpstreamPlaceTest, AHedgeGoesToNoAddressThatWasPassedOn)
{
  ScriptedUpstream slow([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, std::chrono::milliseconds{ 900 } };
  });
  const auto put = [this](const policy::Upstream& aUpstream) {
    OnRequestThread([&] {
      m_steering->PutUpstream(aUpstream);
      m_steering->Tick();
    });
  };
  put(MakeUpstream("i-0", slow.Address(), 1));
  put(MakeUpstream("i-2", slow.Address(), 1));
  Get("r1");
  EXPECT_EQ(slow.Seen().size(), 2U) << "hedged";
  put(MakeUpstream("i-2", m_other.Address(), 2));
  put(FarUpstream("i-1", m_other.Address()));
  for (const char* id : { "r2", "r3", "r4" }) {
    Get(id);
  }
  EXPECT_TRUE(m_other.Seen().empty());
}

// The settings do not know the zone of an upstream. Guards against restricted requests to wherever
// it runs, and against an upstream that no request may use.
TEST_F(UpstreamPlaceTest, AnUpstreamInAnUnknownZoneGetsUnrestrictedRequestsOnly)
{
  OnRequestThread([this] {
    policy::Configuration configuration = m_steering->Routes()->Config();
    configuration.m_version = 3;
    configuration.m_routes[1].m_allowedRegions = {};
    ASSERT_TRUE(m_steering->ApplyConfiguration(std::move(configuration)));
    policy::Upstream upstream = MakeUpstream("i-0", m_near.Address(), 10);
    upstream.m_zone = "unknown";
    upstream.m_region = "";
    m_steering->PutUpstream(upstream);
    m_steering->Tick();
  });
  EXPECT_EQ(Get("r1"), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(RequestsAtNear(), 0U);
  EXPECT_EQ(Status(Exchange(Request("/b/x", "r2"))), "HTTP/1.1 200 OK");
}

} // namespace
} // namespace jaylane::gateway
