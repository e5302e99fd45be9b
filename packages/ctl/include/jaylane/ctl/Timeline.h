#pragma once

#include "jaylane/base/HybridClock.h"
#include "jaylane/ctl/Fleet.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace jaylane::ctl {

/// Event recorded by a VM.
struct TimelineEvent
{
  base::HybridStamp m_stamp;
  /// Number of the event in the VM's event log.
  std::uint64_t m_sequence = 0;
  /// Name of the process that recorded the event.
  std::string m_vm;
  std::string m_kind;
  Json::Value m_fields;
};

/// Events of several VMs, ordered by their hybrid logical clock timestamps.
class Timeline
{
public:
  /// @param aEvents events in any order; duplicates are removed.
  explicit Timeline(std::vector<TimelineEvent> aEvents);

  /// Reads the event log of a VM page by page.
  /// @param aAddress administration address of the VM.
  /// @param aEvents the events are appended to this; malformed events are skipped.
  /// @return whether all pages were read; if not, aEvents has the events of the pages before.
  static bool Read(AdminClient& aClient,
                   const std::string& aAddress,
                   std::vector<TimelineEvent>& aEvents);

  /// @return one line per event.
  std::string ToText() const;

  /// @return {"events":[{"stamp","time","sequence","vm","kind","fields"}]}.
  Json::Value ToJson() const;

  /// @return self-contained HTML page with a column per VM and a filter by kind of event. All
  /// texts from VMs are escaped.
  std::string ToHtml() const;

  const std::vector<TimelineEvent>& Events() const { return m_events; }

private:
  std::vector<TimelineEvent> m_events;
};

} // namespace jaylane::ctl
