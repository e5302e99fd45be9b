#include "TestStore.h"
#include "TestWireFormat.h"
#include "jaylane/gateway/Gateway.h"

#include <condition_variable>
#include <csignal>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

/// Runs a whole gateway in this process, without a store, and stops it by a signal.
class GatewayStopTest : public testing::Test
{
protected:
  void Start(std::chrono::milliseconds aGrace)
  {
    Gateway::Dependencies dependencies{
      {}, TestWireFormat(), m_dialect, base::SystemClock::Get(), m_log, {}, [] { return false; }
    };
    dependencies.m_settings.m_name = "vm";
    dependencies.m_settings.m_zone = dependencies.m_settings.m_region = "r";
    dependencies.m_settings.m_callerAddress = "127.0.0.1:0";
    dependencies.m_settings.m_peerAddress = FreeAddress();
    dependencies.m_settings.m_storeAddress = FreeAddress();
    dependencies.m_settings.m_stopGrace = aGrace;
    dependencies.m_reload = [this, settings = dependencies.m_settings]() mutable {
      settings.m_stopGrace = m_newGrace;
      return base::Result<GatewaySettings>(settings);
    };
    m_gateway = std::make_unique<Gateway>(std::move(dependencies));
    m_thread = std::thread([this] {
      EXPECT_TRUE(m_gateway->Run());
      const std::lock_guard lock(m_mutex);
      m_endedAt = steady_clock::now();
      m_changed.notify_all();
    });
    ASSERT_TRUE(WaitFor("\"start\"", 3s));
  }

  ~GatewayStopTest() override
  {
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  /// @return whether a record with the text has been logged.
  bool WaitFor(const std::string& aText, std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(
      lock, aLimit, [&] { return m_lines.find(aText) != std::string::npos; });
  }

  /// @return time from a moment to the end of the process, or the limit.
  std::chrono::milliseconds TimeToEnd(steady_clock::time_point aFrom,
                                      std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, aFrom + aLimit, [&] { return m_endedAt.has_value(); });
    const auto taken = m_endedAt.value_or(aFrom + aLimit) - aFrom;
    return std::chrono::duration_cast<std::chrono::milliseconds>(taken);
  }

  TestDialect m_dialect;
  std::chrono::milliseconds m_newGrace{ 0 };
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_lines;
  std::optional<steady_clock::time_point> m_endedAt;
  base::AsyncLog m_log{ "vm", base::SystemClock::Get(), { 64, 1000, [this](std::string_view aLine) {
                                                           const std::lock_guard lock(m_mutex);
                                                           m_lines += aLine;
                                                           m_changed.notify_all();
                                                         } } };
  std::unique_ptr<Gateway> m_gateway;
  std::thread m_thread;
};

// Guards against steps of a stop that move because new settings are read meanwhile: with a longer
// grace time, idle connections were never closed and the process exited with them open.
TEST_F(GatewayStopTest, TheGraceTimeOfAStopIsThatOfItsBeginning)
{
  m_newGrace = 60s;
  Start(2000ms);
  const auto signalled = steady_clock::now();
  std::raise(SIGTERM);
  ASSERT_TRUE(WaitFor("\"stopping\"", 1s));
  std::raise(SIGHUP);
  std::raise(SIGTERM); // A second signal must not begin the stop again.
  ASSERT_TRUE(WaitFor("\"reload\"", 1s));
  const auto taken = TimeToEnd(signalled, 5s);
  EXPECT_GE(taken, 950ms);
  EXPECT_LE(taken, 1500ms) << "without connections, the process ends once it accepts none";
}

} // namespace
} // namespace jaylane::gateway
