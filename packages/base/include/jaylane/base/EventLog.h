#pragma once

#include "jaylane/base/HybridClock.h"

#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::base {

/// One event in the timeline of the deployment.
struct Event
{
  HybridStamp m_stamp;
  /// Position among the events of the process, counted from 1.
  std::uint64_t m_sequence = 0;
  /// Id of the VM or tool that recorded the event.
  std::string m_process;
  /// Short hyphenated name, such as "shift-step".
  std::string m_kind;
  /// JSON object with the details.
  Json::Value m_fields;

  /// @return the event as a JSON object.
  Json::Value ToJson() const;
};

/// The latest events of a process, in memory. The oldest are dropped when the log is full. Thread
/// safe.
class EventLog
{
public:
  /// @param aProcess id of the VM or tool, part of each event.
  /// @param aClock stamps the events; must outlive this.
  /// @param aCapacity number of events kept.
  EventLog(std::string aProcess, HybridClock& aClock, std::size_t aCapacity);

  /// Adds an event with the current time.
  /// @param aKind see Event::m_kind.
  /// @param aFields see Event::m_fields.
  void Record(std::string_view aKind, Json::Value aFields = Json::objectValue);

  /// @param aSequence sequence number after which to start; 0 for all events.
  /// @return the later events that are still in the log, in order.
  std::vector<Event> After(std::uint64_t aSequence) const;

private:
  const std::string m_process;
  HybridClock& m_clock;
  mutable std::mutex m_mutex;
  boost::circular_buffer<Event> m_events;
  std::uint64_t m_nextSequence = 1;
};

} // namespace jaylane::base
