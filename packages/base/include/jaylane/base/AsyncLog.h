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

/// One log record as a JSON object, built without intermediate values.
class LogRecord
{
public:
  /// @param aEvent name of the kind of record; records are counted by it.
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
  /// Adds a duration in milliseconds; the name should end in "_ms".
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

/// Structured log whose writers never block: records go through a bounded ring to a thread that
/// writes them, one JSON object a line. Records beyond the ring or the rate limit are dropped,
/// counted, and the count is logged. Thread safe.
class AsyncLog
{
public:
  struct Options
  {
    /// Records waiting for the writer thread.
    std::size_t m_capacity = 512;
    /// Records a second that are written at most; bounds volume and processor time under load.
    std::uint32_t m_perSecond = 200;
    /// Writes one line including the line feed; standard output if empty.
    std::function<void(std::string_view)> m_sink;
  };

  /// @param aProcess name of the VM, part of each record.
  /// @param aClock source of times; must outlive this.
  AsyncLog(std::string aProcess, const Clock& aClock, Options aOptions);
  ~AsyncLog();
  AsyncLog(const AsyncLog&) = delete;
  AsyncLog& operator=(const AsyncLog&) = delete;

  /// Queues a record, or drops and counts it.
  void Write(const LogRecord& aRecord);

  /// @return records dropped since the start.
  std::uint64_t Dropped() const { return m_dropped.load(); }

private:
  bool TakeFromRate();
  void RunWriter();
  void Emit(const std::string& aLine);

  const std::string m_process;
  const Clock& m_clock;
  const Options m_options;
  BoundedRing<std::string> m_ring;
  std::atomic<std::uint64_t> m_dropped{ 0 };
  std::atomic<std::int64_t> m_second{ 0 };
  std::atomic<std::uint32_t> m_inSecond{ 0 };
  std::thread m_writer;
};

} // namespace jaylane::base
