#pragma once

#include "jaylane/base/HybridClock.h"

#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::base {

/// One entry of the time line.
struct Event
{
  HybridStamp m_stamp;
  std::uint64_t m_sequence = 0;
  std::string m_process;
  std::string m_kind;
  Json::Value m_fields;

  /// @return the event as a JSON object.
  Json::Value ToJson() const;
};

/// Bounded log of the events of a process; the oldest are dropped. Thread safe.
class EventLog
{
public:
  /// @param aProcess id of the VM or tool, part of each event.
  /// @param aClock stamps the events; must outlive this.
  /// @param aCapacity number of events kept.
  EventLog(std::string aProcess, HybridClock& aClock, std::size_t aCapacity);

  /// @param aKind short hyphenated name, such as "shift-step".
  /// @param aFields JSON object with the particulars.
  void Record(std::string_view aKind, Json::Value aFields = Json::objectValue);

  /// @param aSequence only events after this one are returned; 0 for all.
  /// @return events in order of their sequence.
  std::vector<Event> After(std::uint64_t aSequence) const;

private:
  const std::string m_process;
  HybridClock& m_clock;
  mutable std::mutex m_mutex;
  boost::circular_buffer<Event> m_events;
  std::uint64_t m_nextSequence = 1;
};

} // namespace jaylane::base
