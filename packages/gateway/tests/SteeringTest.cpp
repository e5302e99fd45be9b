#include "GatewayFixture.h"

#include <chrono>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

class SteeringTest : public GatewayFixture
{};

// Guards against a VM that reports ready before it can route requests.
TEST_F(SteeringTest, ReadyOnceConfigurationAndUpstreamsAreKnown)
{
  m_steering = std::make_unique<Steering>(m_settings, base::SystemClock::Get(), m_log);
  EXPECT_FALSE(m_steering->IsReady());
  policy::Configuration configuration;
  configuration.m_version = 1;
  m_steering->ApplyConfiguration(configuration);
  EXPECT_FALSE(m_steering->IsReady()) << "upstreams are unknown";
  m_steering->ReplaceUpstreams({});
  EXPECT_TRUE(m_steering->IsReady());
}

// A request that many callers send is lost at flaky upstreams now and then, but completes in
// between. Guards against quarantining it for a minute (soak seed 2).
TEST_F(SteeringTest, PopularRequestsThatCompleteAreNotQuarantined)
{
  m_steering = std::make_unique<Steering>(m_settings, base::SystemClock::Get(), m_log);
  const auto popular = policy::RequestFingerprint::Of("s", "GET", "/a/x", 0);
  const auto crashing = policy::RequestFingerprint::Of("s", "GET", "/a/y", 0);
  base::ManualClock clock;
  for (std::uint64_t round = 0; round < 20; ++round) {
    m_steering->Containment().OnCrash(popular, round % 2, false, clock.Monotonic());
    EXPECT_FALSE(m_steering->Containment().List().IsQuarantined(popular, clock.Monotonic()))
      << round;
    m_steering->Containment().OnCompleted(popular, clock.Monotonic());
    clock.Advance(1100ms);
  }
  for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
    m_steering->Containment().OnCrash(crashing, upstream, false, clock.Monotonic());
    clock.Advance(1100ms);
  }
  EXPECT_TRUE(m_steering->Containment().List().IsQuarantined(crashing, clock.Monotonic()));
}

// Guards against loads that this VM has seen and does not tell others, or tells twice, and against
// loads told by others that do not reach the balancer of the upstream's service.
TEST_F(SteeringTest, LoadsArePassedOn)
{
  m_steering = std::make_unique<Steering>(m_settings, base::SystemClock::Get(), m_log);
  policy::Upstream upstream;
  upstream.m_id = "u";
  upstream.m_service = "s";
  upstream.m_address = "127.0.0.1:1";
  upstream.m_slots = 4;
  m_steering->ReplaceUpstreams({ upstream });
  m_steering->OnLoad("u", 7, { 3, 1, 4 });
  m_steering->OnLoad("unknown", std::nullopt, { 100'000, 0, 4 });
  const auto loads = m_steering->TakeLoads();
  ASSERT_EQ(loads.size(), 2U);
  EXPECT_EQ(loads[0].m_running + loads[0].m_waiting, 4);
  EXPECT_NE(loads[0].m_key, 0);
  EXPECT_EQ(loads[1].m_key, 0);
  EXPECT_EQ(loads[1].m_running, 65'535);
  EXPECT_TRUE(m_steering->TakeLoads().empty());
  EXPECT_EQ(m_steering->OnPeerLoads(loads), 1U);
}

// Many upstreams of another region are busy with first requests and silent for a while. Guards
// against taking that for a cut, which would move all of the region's keys.
TEST_F(SteeringTest, SilentUpstreamsAreNoCut)
{
  m_settings.m_region = "r";
  m_steering = std::make_unique<Steering>(m_settings, base::SystemClock::Get(), m_log);
  std::vector<policy::Upstream> upstreams;
  for (int i = 0; i < 20; ++i) {
    policy::Upstream upstream;
    upstream.m_id = "u" + std::to_string(i);
    upstream.m_service = "s";
    upstream.m_zone = upstream.m_region = i < 10 ? "far" : "r";
    upstream.m_address = "127.0.0.1:1";
    upstream.m_slots = 4;
    upstreams.push_back(upstream);
  }
  m_steering->ReplaceUpstreams(upstreams);
  const auto countFar = [this] {
    int far = 0;
    for (std::uint64_t key = 1; key <= 100; ++key) {
      policy::ServiceBalancer::Query query;
      query.m_key = key * 0x9E3779B97F4A7C15;
      query.m_hasAffinity = true;
      query.m_remaining = 2000ms;
      query.m_targetLatency = 400ms;
      const auto choice =
        m_steering->Balancer("s").Choose(query, base::SystemClock::Get().Monotonic());
      far += choice.m_upstream && choice.m_upstream->m_region == "far" ? 1 : 0;
    }
    return far;
  };
  EXPECT_GT(countFar(), 20);
  for (int i = 0; i < 6; ++i) {
    m_steering->OnUnresponsive("s", "u" + std::to_string(i));
  }
  EXPECT_GT(countFar(), 20);
  for (int i = 0; i < 4; ++i) {
    m_steering->OnUnreachable("u" + std::to_string(i));
  }
  EXPECT_EQ(countFar(), 0) << "the region is cut off";
  m_steering->OnResponsive("u9");
  m_steering->Tick();
  EXPECT_LT(countFar(), 10) << "its keys must return slowly";
}

// Upstreams lose responses to a request that many callers send, but answer their health probes.
// Guards against quarantining the request for a minute (soak seeds 94 and 303).
TEST_F(SteeringTest, OnlyCrashesQuarantineARequest)
{
  Start({ "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" });
  const auto popular = policy::RequestFingerprint::Of("s", "GET", "/a/x", 0);
  const auto crashing = policy::RequestFingerprint::Of("s", "GET", "/a/y", 0);
  OnRequestThread([&] {
    const auto lose = [this](const std::string& aUpstream, const auto& aRequest, bool aIsAlive) {
      m_steering->OnProbeEnded(aUpstream, aIsAlive); // Ends an earlier probe; must be ignored.
      m_steering->OnSuspectedCrash(aUpstream, aRequest);
      const auto due = m_steering->TakeDueProbes();
      ASSERT_EQ(due.size(), 1U);
      EXPECT_EQ(due[0].m_upstream.m_id, aUpstream);
      EXPECT_TRUE(m_steering->TakeDueProbes().empty()) << "one probe at a time";
      m_steering->OnProbeEnded(aUpstream, aIsAlive);
    };
    const auto isQuarantined = [this](const auto& aRequest) {
      return m_steering->Containment().List().IsQuarantined(aRequest,
                                                            base::SystemClock::Get().Monotonic());
    };
    for (int round = 0; round < 4; ++round) {
      for (const char* upstream : { "i-0", "i-1", "i-2" }) {
        lose(upstream, popular, true);
      }
    }
    EXPECT_FALSE(isQuarantined(popular));
    for (const char* upstream : { "i-0", "i-1", "i-2" }) {
      EXPECT_FALSE(isQuarantined(crashing));
      lose(upstream, crashing, false);
    }
    EXPECT_TRUE(isQuarantined(crashing));
  });
}

// A connection may be established after the upstream's removal, drain or evacuation was applied.
// Guards against a check that knows only of removals which are still waiting.
TEST_F(SteeringTest, OnlyUpstreamsInServiceMayReceive)
{
  Start({ "127.0.0.1:1", "127.0.0.1:2" });
  OnRequestThread([&] {
    EXPECT_TRUE(m_steering->MayReceive("i-0"));
    m_steering->RemoveUpstream("i-0", 1);
    EXPECT_FALSE(m_steering->MayReceive("i-0"));
    policy::Upstream upstream;
    upstream.m_id = "i-0";
    upstream.m_service = "s";
    upstream.m_zone = "z";
    upstream.m_revision = 2;
    m_steering->PutUpstream(upstream);
    EXPECT_TRUE(m_steering->MayReceive("i-0")) << "a new incarnation";
    m_steering->Pending().Add({ "i-0", "i-0" });
    m_steering->Pending().Remove({ "i-0" });
    EXPECT_FALSE(m_steering->MayReceive("i-0")) << "one more batch removes it";
    m_steering->Pending().Remove({ "i-0" });
    EXPECT_TRUE(m_steering->MayReceive("i-0"));
    upstream.m_draining = true;
    upstream.m_revision = 3;
    m_steering->PutUpstream(upstream);
    EXPECT_FALSE(m_steering->MayReceive("i-0"));
    EXPECT_TRUE(m_steering->MayReceive("i-1"));
    m_steering->SetEvacuations({ "z" });
    EXPECT_FALSE(m_steering->MayReceive("i-1"));
  });
}

// The store returns from a copy in which an upstream that has left is registered. Guards against
// sending requests to it before the store can have removed its entry again (DRAIN).
TEST_F(SteeringTest, AnUpstreamThatHasLeftDoesNotReturnWithAnOlderCopy)
{
  Start({ "127.0.0.1:1" });
  OnRequestThread([&] {
    policy::Upstream upstream;
    upstream.m_id = "left";
    upstream.m_service = "s";
    upstream.m_zone = "z";
    upstream.m_revision = { 5, 1 };
    m_steering->PutUpstream(upstream);
    m_steering->RemoveUpstream("left", { 6, 1 });
    m_steering->OnStoreRestored(2);
    upstream.m_revision = { 5, 2 };
    m_steering->ReplaceUpstreams({ upstream });
    EXPECT_FALSE(m_steering->MayReceive("left"));
    EXPECT_TRUE(m_steering->MayReceive("i-0")) << "not in the copy, and may register again";
  });
}

// Guards against going back to an older configuration that arrives late.
TEST_F(SteeringTest, OlderConfigurationsAreIgnored)
{
  m_steering = std::make_unique<Steering>(m_settings, base::SystemClock::Get(), m_log);
  policy::Configuration configuration;
  configuration.m_version = 5;
  configuration.m_revision = 50;
  EXPECT_TRUE(m_steering->ApplyConfiguration(configuration));
  configuration.m_version = 3;
  configuration.m_revision = 60;
  EXPECT_FALSE(m_steering->ApplyConfiguration(configuration));
  configuration.m_version = 5;
  configuration.m_revision = 40;
  EXPECT_FALSE(m_steering->ApplyConfiguration(configuration));
  EXPECT_EQ(m_steering->Routes()->Config().m_revision, 50U);
}

} // namespace
} // namespace jaylane::gateway
