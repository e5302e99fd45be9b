#include "GatewayFixture.h"

#include <chrono>
#include <future>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

constexpr const char* kTarget = "/a/x";

/// Requests that were in flight when upstreams crashed.
class CrashedUpstreamsTest : public GatewayFixture
{
protected:
  static Script Close(const SeenRequest&) { return { "", true }; }

  policy::RequestFingerprint FingerprintOf(const std::string& aTarget) const
  {
    return policy::RequestFingerprint::Of("h", "GET", aTarget, m_emptyBodyHash);
  }

  /// The request was in flight at an upstream that crashed.
  void Accuse(const std::string& aTarget, std::uint64_t aUpstream, bool aWasSuspect = false)
  {
    OnRequestThread([&] {
      m_steering->Containment().OnCrash(
        FingerprintOf(aTarget), aUpstream, aWasSuspect, base::SystemClock::Get().Monotonic());
    });
  }

  bool IsSuspect(const std::string& aTarget)
  {
    bool isSuspect = false;
    OnRequestThread([&] {
      isSuspect = m_steering->Containment().List().IsSuspect(FingerprintOf(aTarget),
                                                             base::SystemClock::Get().Monotonic());
    });
    return isSuspect;
  }

  /// XXH64 of no bytes.
  static constexpr std::uint64_t m_emptyBodyHash = 0xEF46DB3751D8E999;
};

// Guards against a copy of a crashing request that ends one upstream per attempt of the route.
TEST_F(CrashedUpstreamsTest, ASuspectThatIsLostIsNotRetried)
{
  ScriptedUpstream first(Close);
  ScriptedUpstream second(Close);
  Start({ first.Address(), second.Address() });
  EXPECT_EQ(Status(Exchange(Request(kTarget, "r1"))), "HTTP/1.1 502 Bad Gateway");
  EXPECT_EQ(first.Seen().size() + second.Seen().size(), 2U) << "harmless requests are retried";
  Accuse(kTarget, 1);
  EXPECT_EQ(Status(Exchange(Request(kTarget, "r2"))), "HTTP/1.1 502 Bad Gateway");
  EXPECT_EQ(first.Seen().size() + second.Seen().size(), 3U);
}

// Guards against copies of a crashing request that run on several upstreams of one VM together.
TEST_F(CrashedUpstreamsTest, CopiesOfASuspectDoNotRunTogether)
{
  const auto serveSlowly = [](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 500ms };
  };
  ScriptedUpstream first(serveSlowly);
  ScriptedUpstream second(serveSlowly);
  Start({ first.Address(), second.Address() });
  Accuse(kTarget, 1);
  auto copy = std::async(std::launch::async, [this] { return Exchange(Request(kTarget, "r1")); });
  std::this_thread::sleep_for(150ms);
  const std::string rejected = Exchange(Request(kTarget, "r2"), 50ms);
  EXPECT_EQ(Status(rejected), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(rejected.find("Retry-After"), std::string::npos);
  EXPECT_EQ(Status(copy.get()), "HTTP/1.1 200 OK");
  EXPECT_EQ(first.Seen().size() + second.Seen().size(), 1U) << "neither hedged nor sent twice";
  EXPECT_FALSE(IsSuspect(kTarget)) << "it came through";
  EXPECT_EQ(Status(Exchange(Request(kTarget, "r3"))), "HTTP/1.1 200 OK");
}

// Guards against a request that crashes upstreams while they respond, and so is never suspected.
TEST_F(CrashedUpstreamsTest, AnUpstreamThatEndsWithinItsResponseIsProbed)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    const std::string response = OkResponse(aRequest, "abcdef");
    return Script{ response.substr(0, response.size() - 3), true };
  });
  Start({ upstream.Address() });
  Exchange(Request(kTarget, "r1"));
  OnRequestThread([&] {
    EXPECT_EQ(m_steering->TakeDueProbes().size(), 1U);
    m_steering->OnProbeEnded("i-0", false);
  });
  EXPECT_TRUE(IsSuspect(kTarget));
}

// A response that reports a failure shows that the request does not end the upstream.
TEST_F(CrashedUpstreamsTest, AFailureResponseClearsASuspect)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ "HTTP/1.1 500 Failed\r\nRequest-Id: " + aRequest.Header("Request-Id") +
                   "\r\nContent-Length: 0\r\n\r\n" };
  });
  Start({ upstream.Address() });
  Accuse(kTarget, 1);
  EXPECT_TRUE(IsSuspect(kTarget));
  EXPECT_EQ(Status(Exchange(Request(kTarget, "r1"))), "HTTP/1.1 500 Failed");
  EXPECT_FALSE(IsSuspect(kTarget));
}

// Guards against a crashing request that goes on at the upstreams of another service when its route
// moves, and against rejecting others with it.
TEST_F(CrashedUpstreamsTest, AQuarantineHoldsWhereverTheRouteLeads)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  Accuse(kTarget, 1);
  Accuse(kTarget, 2, true);
  Accuse(kTarget, 3, true);
  OnRequestThread([&] {
    policy::Configuration configuration = m_steering->Routes()->Config();
    ++configuration.m_version;
    configuration.m_services["t"] = configuration.m_services["s"];
    configuration.m_services["t"].m_name = "t";
    for (policy::Route& route : configuration.m_routes) {
      route.m_services = { { "t", 1 } };
    }
    m_steering->ApplyConfiguration(std::move(configuration));
    policy::Upstream other = MakeUpstream("i-9", upstream.Address(), 1);
    other.m_service = "t";
    m_steering->PutUpstream(other);
    m_steering->Tick();
  });
  EXPECT_EQ(Status(Exchange(Request(kTarget, "r1"))), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(Status(Exchange(Request("/a/y", "r2"))), "HTTP/1.1 200 OK");
  EXPECT_EQ(upstream.Seen().size(), 1U);
}

// Guards against a crash that is noticed only at the next tick, while copies of the request go on.
TEST_F(CrashedUpstreamsTest, AnUpstreamThatClosedAConnectionIsProbedAtOnce)
{
  ScriptedUpstream upstream(Close);
  Start({ upstream.Address() });
  std::atomic<int> probes{ 0 };
  OnRequestThread([&] {
    m_steering->SetOnProbeDue(
      [&] { probes += static_cast<int>(m_steering->TakeDueProbes().size()); });
  });
  Exchange(Request(kTarget, "r1"));
  EXPECT_EQ(probes, 1);
}

} // namespace
} // namespace jaylane::gateway
