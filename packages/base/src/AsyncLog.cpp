#include "jaylane/base/AsyncLog.h"

#include <algorithm>
#include <climits>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace jaylane::base {

namespace {

/// Longest wait of the writer thread for a record. Affects only how soon drops are reported.
constexpr std::chrono::seconds kWriterWait{ 5 };

/// Interval at which the writer thread checks whether the log is being closed, while nobody reads
/// the standard output.
constexpr std::chrono::milliseconds kOutputCheckInterval{ 100 };

} // namespace

LogRecord::LogRecord(std::string_view aEvent)
{
  Add("event", aEvent);
}

void LogRecord::AppendString(std::string_view aText)
{
  m_members += '"';
  for (const char character : aText) {
    if (character == '"' || character == '\\') {
      m_members += '\\';
      m_members += character;
    } else if (static_cast<unsigned char>(character) < 0x20 || character == 0x7F) {
      m_members += fmt::format("\\u{:04x}", static_cast<unsigned char>(character));
    } else {
      m_members += character;
    }
  }
  m_members += '"';
}

LogRecord& LogRecord::Add(std::string_view aName, std::string_view aValue)
{
  m_members += m_members.empty() ? "" : ",";
  AppendString(aName);
  m_members += ':';
  AppendString(aValue);
  return *this;
}

LogRecord& LogRecord::AddRaw(std::string_view aName, std::string_view aValue)
{
  m_members += m_members.empty() ? "" : ",";
  AppendString(aName);
  m_members += ':';
  m_members += aValue;
  return *this;
}

AsyncLog::AsyncLog(std::string aProcess, const Clock& aClock, Options aOptions)
  : m_process(std::move(aProcess))
  , m_clock(aClock)
  , m_options(std::move(aOptions))
  , m_ring(m_options.m_capacity)
  , m_writer([this] { RunWriter(); })
{
}

AsyncLog::~AsyncLog()
{
  m_ring.Close();
  m_writer.join();
}

bool AsyncLog::TryConsumeRateLimit()
{
  const auto now =
    std::chrono::duration_cast<std::chrono::seconds>(m_clock.Monotonic().time_since_epoch());
  if (m_rateWindow.exchange(now.count()) != now.count()) {
    m_recordsInWindow = 0;
  }
  return m_recordsInWindow.fetch_add(1) < m_options.m_maxRecordsPerSecond;
}

void AsyncLog::Write(const LogRecord& aRecord)
{
  const auto now = m_clock.Wall();
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::string line = fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","vm":"{}",{}}})",
                                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                 millis,
                                 m_process,
                                 aRecord.Members());
  line += '\n';
  if (!TryConsumeRateLimit() || !m_ring.TryPush(std::move(line))) {
    ++m_dropped;
  }
}

bool AsyncLog::AwaitOutput() const
{
  while (true) {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (::poll(&output, 1, static_cast<int>(kOutputCheckInterval.count())) != 0) {
      return true; // Writable, or an error that the write reports.
    }
    if (m_ring.IsClosed()) {
      return false;
    }
  }
}

bool AsyncLog::WriteToStandardOutput(std::string_view aLine) const
{
  while (!aLine.empty()) {
    if (!AwaitOutput()) {
      return false;
    }
    // A writable pipe takes PIPE_BUF bytes without blocking.
    const ssize_t written =
      ::write(STDOUT_FILENO, aLine.data(), std::min<std::size_t>(aLine.size(), PIPE_BUF));
    if (written <= 0) {
      return true; // The output failed, and there is no other place to report that.
    }
    aLine.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool AsyncLog::Emit(const std::string& aLine) const
{
  if (m_options.m_sink) {
    m_options.m_sink(aLine);
    return true;
  }
  return WriteToStandardOutput(aLine);
}

void AsyncLog::RunWriter()
{
  std::uint64_t reported = 0;
  while (true) {
    const bool wasClosed = m_ring.IsClosed();
    if (const std::optional<std::string> line = m_ring.Pop(kWriterWait)) {
      if (!Emit(*line)) {
        return;
      }
    } else if (wasClosed) {
      return;
    }
    const std::uint64_t dropped = m_dropped;
    if (dropped != reported && m_ring.size() == 0) {
      Emit(fmt::format(R"({{"vm":"{}","event":"log_dropped","records":{}}})"
                       "\n",
                       m_process,
                       dropped - reported));
      reported = dropped;
    }
  }
}

} // namespace jaylane::base
