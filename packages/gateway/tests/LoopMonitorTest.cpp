#include "LoopMonitor.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

// Guards against a busy thread that cannot be told from a slow network in the log.
TEST(LoopMonitorTest, ReportsABlockedLoop)
{
  std::mutex mutex;
  std::string output;
  boost::asio::io_context io;
  {
    base::AsyncLog log{ "vm", base::SystemClock::Get(), { 64, 1000, [&](std::string_view aText) {
                                                           const std::lock_guard lock(mutex);
                                                           output.append(aText);
                                                         } } };
    LoopMonitor monitor(io, base::SystemClock::Get(), log, "request");
    monitor.Start();
    io.run_for(500ms);
    EXPECT_LT(monitor.Delay(), 100ms);
    boost::asio::post(io, [&] {
      std::this_thread::sleep_for(600ms);
      EXPECT_GE(monitor.Delay(), 300ms) << "while the loop is blocked";
    });
    io.restart();
    io.run_for(650ms);
    EXPECT_GE(monitor.Delay(), 300ms);
    io.restart();
    io.run_for(500ms);
    EXPECT_LT(monitor.Delay(), 100ms);
  }
  EXPECT_NE(output.find("loop_delayed"), std::string::npos);
}

} // namespace
} // namespace jaylane::gateway
