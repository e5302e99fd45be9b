#include "GatewayFixture.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>

namespace jaylane::gateway {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// One upstream with four slots. Requests to /a/ are patient, those to /b/ urgent; all take 300 ms.
class HeldRequestsTest : public GatewayFixture
{
protected:
  HeldRequestsTest()
  {
    Start({ m_upstream.Address() });
    OnRequestThread([this] {
      policy::Configuration configuration = m_steering->Routes()->Config();
      configuration.m_version = 2;
      for (policy::Route& route : configuration.m_routes) {
        const bool isUrgent = route.m_name == "/b/";
        route.m_priority = isUrgent ? 0 : 2;
        route.m_targetLatency = isUrgent ? 800ms : 4000ms;
        route.m_timeout = 6000ms;
      }
      m_steering->ApplyConfiguration(configuration);
    });
    EXPECT_EQ(Status(Exchange(Request("/b/x", "urgent", "Connection: close\r\n"))),
              "HTTP/1.1 200 OK");
  }

  /// Sends patient requests and waits until each is sent or held.
  /// @return number of requests that were sent to the upstream.
  std::size_t SendPatient()
  {
    for (std::size_t i = 0; i < kPatient; ++i) {
      m_callers.push_back(Connect());
      asio::write(m_callers.back(), asio::buffer(Request("/a/x", "p" + std::to_string(i))));
    }
    std::size_t sent = 0;
    std::size_t held = 0;
    while (sent + held < kPatient) {
      OnRequestThread([&] {
        sent = m_metrics.m_attempts - 1;
        held = m_context->m_held->Count();
      });
    }
    return sent;
  }

  /// @return number of patient requests that were sent.
  std::size_t SentCount()
  {
    std::size_t count = 0;
    OnRequestThread([&] { count = m_metrics.m_attempts - 1; });
    return count;
  }

  std::size_t HeldCount()
  {
    std::size_t count = 0;
    OnRequestThread([&] { count = m_context->m_held->Count(); });
    return count;
  }

  static std::string ReadStatus(asio::ip::tcp::socket& aCaller)
  {
    std::string response(512, '\0');
    response.resize(aCaller.read_some(asio::buffer(response)));
    return Status(response);
  }

  static constexpr std::size_t kSlots = 4;
  static constexpr std::size_t kPatient = 3 * kSlots;
  ScriptedUpstream m_upstream{ [](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 300ms };
  } };
  std::list<asio::ip::tcp::socket> m_callers;
};

// Guards against patient requests filling the upstream's queue, where urgent ones would wait behind
// them: they wait at this VM, and are sent when slots become free.
TEST_F(HeldRequestsTest, PatientRequestsWaitAtTheVm)
{
  const std::size_t sent = SendPatient();
  EXPECT_LE(sent, 2 * kSlots);
  EXPECT_EQ(HeldCount(), kPatient - sent);
  for (auto& caller : m_callers) {
    EXPECT_EQ(ReadStatus(caller), "HTTP/1.1 200 OK");
  }
  EXPECT_EQ(HeldCount(), 0U);
  OnRequestThread([&] { EXPECT_EQ(m_metrics.m_heldTotal, kPatient - sent); });
}

// Guards against sending a request whose caller has left, and against keeping its memory.
TEST_F(HeldRequestsTest, AHeldRequestEndsWithItsCaller)
{
  const std::size_t sent = SendPatient();
  ASSERT_LT(sent, kPatient);
  m_callers.clear();
  std::this_thread::sleep_for(100ms);
  EXPECT_EQ(HeldCount(), 0U);
  EXPECT_EQ(SentCount(), sent);
}

// Guards against starting held requests that the process may not finish before it exits.
TEST_F(HeldRequestsTest, HeldRequestsAreRejectedWhenTheVmStops)
{
  const std::size_t sent = SendPatient();
  ASSERT_LT(sent, kPatient);
  OnRequestThread([this] {
    m_context->m_phase = LifecyclePhase::Draining;
    m_context->m_exitAt = base::SystemClock::Get().Monotonic() + 1s;
  });
  std::vector<std::string> statuses;
  for (auto& caller : m_callers) {
    statuses.push_back(ReadStatus(caller));
  }
  EXPECT_EQ(std::ranges::count(statuses, "HTTP/1.1 503 Service Unavailable"), kPatient - sent);
  EXPECT_EQ(SentCount(), sent);
}

} // namespace
} // namespace jaylane::gateway
