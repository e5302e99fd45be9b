#pragma once

#include "jaylane/base/BoundedRing.h"
#include "jaylane/base/Clock.h"

#include <atomic>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace jaylane::base {

/// One log record. Writes the members of a JSON object directly as text, without Json::Value.
class LogRecord
{
public:
  /// @param aEvent kind of the record, by which records can be counted.
  explicit LogRecord(std::string_view aEvent);

  LogRecord& Add(std::string_view aName, std::string_view aValue);
  LogRecord& Add(std::string_view aName, const char* aValue)
  {
    return Add(aName, std::string_view{ aValue });
  }
  LogRecord& Add(std::string_view aName, std::integral auto aValue)
  {
    return AddRaw(aName, std::to_string(aValue));
  }
  /// Adds a duration, truncated to milliseconds; the name should end in "_ms".
  LogRecord& Add(std::string_view aName, std::chrono::nanoseconds aValue)
  {
    return AddRaw(
      aName, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count()));
  }

  /// @return the members written so far, without braces.
  const std::string& Members() const { return m_members; }

private:
  LogRecord& AddRaw(std::string_view aName, std::string_view aValue);
  void AppendString(std::string_view aText);

  std::string m_members;
};

/// Structured log that never blocks its callers. Records pass through a bounded ring to a thread
/// that writes them, one JSON object per line. Records that exceed the ring or the rate limit are
/// dropped, and the number of dropped records is logged. Thread safe.
class AsyncLog
{
public:
  struct Options
  {
    /// Limit on the records that wait for the writer thread.
    std::size_t m_capacity = 512;
    /// Limit on the records written per second. Bounds log volume and CPU time under load.
    std::uint32_t m_maxRecordsPerSecond = 200;
    /// Called with each line, including its line feed. If empty, lines go to standard output.
    std::function<void(std::string_view)> m_sink;
  };

  /// @param aProcess name of the VM, part of each record.
  /// @param aClock source of timestamps; must outlive this.
  /// @param aOptions limits and output.
  AsyncLog(std::string aProcess, const Clock& aClock, Options aOptions);
  ~AsyncLog();
  AsyncLog(const AsyncLog&) = delete;
  AsyncLog& operator=(const AsyncLog&) = delete;

  /// Queues a record, or drops and counts it.
  void Write(const LogRecord& aRecord);

  /// @return records dropped since the start.
  std::uint64_t Dropped() const { return m_dropped.load(); }

private:
  /// Counts a record against the rate limit.
  /// @return false if the limit of the current second is reached.
  bool TryConsumeRateLimit();
  void RunWriter();
  /// Waits until the standard output can be written to.
  /// @return false if nobody reads it and the log is being closed. A process must not fail to end
  ///   because of its log.
  bool AwaitOutput() const;
  /// @return false as of AwaitOutput().
  bool WriteToStandardOutput(std::string_view aLine) const;
  /// @return false if this and further lines cannot be written before the log is closed.
  bool Emit(const std::string& aLine) const;

  const std::string m_process;
  const Clock& m_clock;
  const Options m_options;
  BoundedRing<std::string> m_ring;
  std::atomic<std::uint64_t> m_dropped{ 0 };
  /// Second of the monotonic clock that m_recordsInWindow counts for.
  std::atomic<std::int64_t> m_rateWindow{ 0 };
  std::atomic<std::uint32_t> m_recordsInWindow{ 0 };
  std::thread m_writer;
};

} // namespace jaylane::base
