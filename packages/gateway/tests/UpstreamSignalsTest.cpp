#include "GatewayFixture.h"

#include <atomic>
#include <chrono>
#include <fmt/format.h>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

/// Requests to upstreams that say in their responses that they leave, want a pause or have a limit.
class UpstreamSignalsTest : public GatewayFixture
{};

// An upstream says in its responses that it leaves, while its registration in the store does not.
// Guards against requests that reach it later (DRAIN), also after its registration was read again.
TEST_F(UpstreamSignalsTest, AnUpstreamThatSaysItLeavesGetsNoMoreRequests)
{
  ScriptedUpstream leaving([](const SeenRequest& aRequest) {
    return Script{ ResponseWith(aRequest, "Server-Leaving: 1\r\n") };
  });
  ScriptedUpstream staying(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ leaving.Address() });
  const auto send = [this](int aCount, const std::string& aPrefix) {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = aPrefix + std::to_string(i);
      EXPECT_EQ(Status(Exchange(Request("/a/" + id, id, "Connection: close\r\n"))),
                "HTTP/1.1 200 OK");
    }
  };
  const auto put = [this](const policy::Upstream& aUpstream) {
    OnRequestThread([&] {
      m_steering->PutUpstream(aUpstream);
      m_steering->Tick();
    });
  };
  send(1, "r");
  ASSERT_EQ(leaving.Seen().size(), 1U);
  put(MakeUpstream("i-1", staying.Address(), 5));
  send(6, "s");
  put(MakeUpstream("i-0", leaving.Address(), 6));
  send(6, "t");
  OnRequestThread([&] { m_steering->RemoveUpstream("i-0", 7); });
  put(MakeUpstream("i-0", leaving.Address(), 8));
  send(6, "u");
  EXPECT_EQ(leaving.Seen().size(), 1U) << "only the request whose response had the header";
  policy::Upstream next = MakeUpstream("i-0", leaving.Address(), 9);
  next.m_startedAtMs = 1;
  put(next);
  OnRequestThread([&] { EXPECT_TRUE(m_steering->MayReceive("i-0")) << "a new incarnation"; });
}

// Guards against sending to an upstream that rejects a request and says that it leaves.
TEST_F(UpstreamSignalsTest, ARejectionMaySayThatTheUpstreamLeaves)
{
  ScriptedUpstream leaving([](const SeenRequest&) {
    return Script{ "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\n"
                   "Content-Length: 0\r\n\r\n" };
  });
  Start({ leaving.Address() });
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    EXPECT_EQ(Status(Exchange(Request("/b/" + id, id, "Connection: close\r\n"))),
              "HTTP/1.1 503 Service Unavailable");
  }
  EXPECT_EQ(leaving.Seen().size(), 1U);
}

// An upstream rejects requests and asks this VM to stay away for a while. Guards against requests
// that reach it before that time is over (BUDGET), and against callers that are told to come back
// earlier.
TEST_F(UpstreamSignalsTest, AnUpstreamThatAsksForAPauseGetsNoRequests)
{
  std::atomic<bool> isBusy{ true };
  ScriptedUpstream upstream([&](const SeenRequest& aRequest) {
    return isBusy ? Script{ "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 0.8\r\n"
                            "Content-Length: 0\r\n\r\n" }
                  : Script{ OkResponse(aRequest, "x") };
  });
  Start({ upstream.Address() });
  const auto start = std::chrono::steady_clock::now();
  std::string response;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    response = Exchange(Request("/a/" + id, id, "Connection: close\r\n"));
    EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  }
  ASSERT_LT(std::chrono::steady_clock::now() - start, 500ms);
  EXPECT_EQ(upstream.Seen().size(), 1U);
  const std::size_t at = response.find("Retry-After: ");
  ASSERT_NE(at, std::string::npos) << response;
  const double retryAfter = std::stod(response.substr(at + std::string{ "Retry-After: " }.size()));
  EXPECT_GE(retryAfter, 0.3);
  EXPECT_LE(retryAfter, 1.0);
  isBusy = false;
  std::this_thread::sleep_until(start + 900ms);
  OnRequestThread([this] { m_steering->Tick(); });
  EXPECT_EQ(Status(Exchange(Request("/a/x", "s", "Connection: close\r\n"))), "HTTP/1.1 200 OK");
}

/// Callers of an upstream that names a limit.
class LimitedUpstreamPathTest : public UpstreamSignalsTest
{
protected:
  static constexpr double kLimit = 4.5;

  Script Respond(const SeenRequest& aRequest) const
  {
    return Script{ m_isLimited ? ResponseWith(aRequest, fmt::format("Server-Limit: {}\r\n", kLimit))
                               : OkResponse(aRequest, "x") };
  }

  /// Sends requests ten milliseconds after each other.
  /// @return the last response that is not 200; empty if there is none.
  std::string Send(int aCount, const std::string& aPrefix)
  {
    std::string rejection;
    for (int i = 0; i < aCount; ++i) {
      const std::string id = aPrefix + std::to_string(i);
      const std::string response = Exchange(Request("/a/" + id, id, "Connection: close\r\n"));
      if (Status(response) != "HTTP/1.1 200 OK") {
        rejection = response;
      }
      std::this_thread::sleep_for(10ms);
    }
    return rejection;
  }

  /// @return most requests in four seconds that the users allow: one and a half times the limit,
  /// and
  ///   five more.
  static double Allowed(double aLimit = kLimit) { return 1.5 * aLimit * 4 + 5; }

  std::atomic<bool> m_isLimited{ true };
};

// An upstream names the requests per second that it takes. Guards against sending it more (LIMIT),
// and against rejecting what another upstream can serve.
TEST_F(LimitedUpstreamPathTest, GetsNoMoreThanItTakes)
{
  ScriptedUpstream limited([this](const SeenRequest& aRequest) { return Respond(aRequest); });
  // The balancer prefers the limited upstream, which is faster.
  ScriptedUpstream other([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 15ms };
  });
  Start({ limited.Address(), other.Address() });
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Send(150, "r"), "");
  ASSERT_LT(std::chrono::steady_clock::now() - start, 8s);
  EXPECT_LE(limited.Seen().size(), Allowed() * 2);
  m_isLimited = false;
  Send(60, "s");
  const std::size_t before = limited.Seen().size();
  Send(60, "t");
  EXPECT_GE(limited.Seen().size() - before, 15U) << "its keys return";
}

// Guards against requests that wait, or go on, when only limited upstreams are left.
TEST_F(LimitedUpstreamPathTest, RejectsAtOnceWhatItDoesNotTake)
{
  ScriptedUpstream limited([this](const SeenRequest& aRequest) { return Respond(aRequest); });
  Start({ limited.Address() });
  const auto start = std::chrono::steady_clock::now();
  const std::string rejection = Send(100, "r");
  ASSERT_LT(std::chrono::steady_clock::now() - start, 2s) << "they must not wait";
  EXPECT_EQ(Status(rejection), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(rejection.find("Retry-After: 0."), std::string::npos) << rejection;
  EXPECT_LE(limited.Seen().size(), Allowed());
}

// Guards against a VM that has just started and exceeds a limit which other VMs know, and against
// an unreadable header that ends a limit.
TEST_F(LimitedUpstreamPathTest, ObservesWhatOtherVmsHaveSeen)
{
  ScriptedUpstream limited([](const SeenRequest& aRequest) {
    return Script{ ResponseWith(aRequest, "Server-Limit: many\r\n") };
  });
  Start({ limited.Address() });
  OnRequestThread([this] {
    m_steering->SetMembers({ "vm", "other" });
    m_steering->OnPeerLimits({ { "i-0", kLimit, base::SystemClock::Get().Monotonic() } });
  });
  Send(100, "r");
  EXPECT_GE(limited.Seen().size(), 1U);
  EXPECT_LE(limited.Seen().size(), Allowed(kLimit / 2)) << "half is the other VM's";
}

// Guards against forgetting a limit that another VM tells before the registration arrives.
TEST_F(LimitedUpstreamPathTest, KnowsTheLimitBeforeTheRegistration)
{
  ScriptedUpstream limited([this](const SeenRequest& aRequest) { return Respond(aRequest); });
  Start({});
  OnRequestThread([&] {
    m_steering->OnPeerLimits({ { "i-0", 0.0, base::SystemClock::Get().Monotonic() } });
    m_steering->PutUpstream(MakeUpstream("i-0", limited.Address(), 5));
    m_steering->Tick();
  });
  Send(20, "r");
  EXPECT_LE(limited.Seen().size(), 1U);
}

// Guards against keeping away for good from an upstream that takes nothing for a while.
TEST_F(LimitedUpstreamPathTest, NoticesTheEndOfALimitOfZero)
{
  ScriptedUpstream limited(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ limited.Address() });
  OnRequestThread([this] {
    m_steering->OnPeerLimits({ { "i-0", 0.0, base::SystemClock::Get().Monotonic() } });
  });
  const auto end = std::chrono::steady_clock::now() + 14s;
  while (limited.Seen().empty() && std::chrono::steady_clock::now() < end) {
    Send(10, "r");
  }
  EXPECT_EQ(Send(10, "s"), "");
}

} // namespace
} // namespace jaylane::gateway
