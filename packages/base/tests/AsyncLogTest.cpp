#include "jaylane/base/AsyncLog.h"

#include "jaylane/base/JsonText.h"

#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <unistd.h>

namespace jaylane::base {
namespace {

/// Collects lines. While closed it blocks the writer, like an output that nobody reads.
class Sink
{
public:
  void Write(std::string_view aLine)
  {
    std::unique_lock lock(m_mutex);
    m_opened.wait(lock, [this] { return m_open; });
    m_lines.emplace_back(aLine);
  }

  void SetOpen(bool aOpen)
  {
    std::lock_guard lock(m_mutex);
    m_open = aOpen;
    m_opened.notify_all();
  }

  std::vector<std::string> m_lines;

private:
  std::mutex m_mutex;
  std::condition_variable m_opened;
  bool m_open = true;
};

// Guards against records that break the line format when a value holds quotes or line feeds.
TEST(AsyncLogTest, EscapesValues)
{
  ManualClock clock;
  Sink sink;
  {
    AsyncLog log("vm-1", clock, { 16, 100, [&](std::string_view aLine) { sink.Write(aLine); } });
    log.Write(LogRecord("request").Add("id", "a\"b\nc").Add("attempts", 2));
  }
  ASSERT_EQ(sink.m_lines.size(), 1U);
  const auto record = ParseJson(sink.m_lines[0].substr(0, sink.m_lines[0].size() - 1));
  ASSERT_TRUE(record);
  EXPECT_EQ((*record)["id"].asString(), "a\"b\nc");
  EXPECT_EQ((*record)["attempts"].asInt(), 2);
}

// Guards against a request thread that blocks on standard output.
TEST(AsyncLogTest, DropsInsteadOfBlockingWhenNobodyReads)
{
  ManualClock clock;
  Sink sink;
  sink.SetOpen(false);
  {
    AsyncLog log("vm-1", clock, { 4, 1000, [&](std::string_view aLine) { sink.Write(aLine); } });
    for (int i = 0; i < 100; ++i) {
      log.Write(LogRecord("request"));
    }
    EXPECT_GE(log.Dropped(), 90U);
    sink.SetOpen(true);
  }
  EXPECT_NE(sink.m_lines.back().find("log_dropped"), std::string::npos);
}

// Guards against log volume that grows with the request rate.
TEST(AsyncLogTest, BoundsRecordsPerSecond)
{
  ManualClock clock;
  Sink sink;
  {
    AsyncLog log("vm-1", clock, { 512, 10, [&](std::string_view aLine) { sink.Write(aLine); } });
    for (int i = 0; i < 50; ++i) {
      log.Write(LogRecord("request"));
    }
    EXPECT_EQ(log.Dropped(), 40U);
    clock.Advance(std::chrono::seconds{ 1 });
    log.Write(LogRecord("request"));
    EXPECT_EQ(log.Dropped(), 40U);
  }
}

// Guards against a process that cannot end because nobody reads its standard output.
TEST(AsyncLogDeathTest, EndsWhileNobodyReadsTheStandardOutput)
{
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  constexpr unsigned kLimitSeconds = 5;
  EXPECT_EXIT(
    {
      ::alarm(kLimitSeconds);
      int unread[2];
      if (::pipe(unread) == 0 && ::dup2(unread[1], STDOUT_FILENO) == STDOUT_FILENO) {
        AsyncLog log("vm", SystemClock::Get(), { 512, 1000, {} });
        for (int i = 0; i < 100; ++i) {
          log.Write(LogRecord("filler").Add("text", std::string(1000, 'x')));
        }
      }
      ::_exit(0);
    },
    testing::ExitedWithCode(0),
    "");
}

} // namespace
} // namespace jaylane::base
