#include "jaylane/base/EventLog.h"

#include <utility>

namespace jaylane::base {

Json::Value Event::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["stamp"] = m_stamp.ToString();
  json["sequence"] = Json::UInt64(m_sequence);
  json["process"] = m_process;
  json["kind"] = m_kind;
  json["fields"] = m_fields;
  return json;
}

EventLog::EventLog(std::string aProcess, HybridClock& aClock, std::size_t aCapacity)
  : m_process(std::move(aProcess))
  , m_clock(aClock)
  , m_events(aCapacity)
{
}

void EventLog::Record(std::string_view aKind, Json::Value aFields)
{
  std::lock_guard lock(m_mutex);
  // The stamp is taken under the lock, so that stamps increase with the sequence number.
  Event event{ m_clock.Now(), m_nextSequence++, m_process, std::string(aKind), std::move(aFields) };
  m_events.push_back(std::move(event));
}

std::vector<Event> EventLog::After(std::uint64_t aSequence) const
{
  std::lock_guard lock(m_mutex);
  std::vector<Event> events;
  for (const Event& event : m_events) {
    if (event.m_sequence > aSequence) {
      events.push_back(event);
    }
  }
  return events;
}

} // namespace jaylane::base
