#pragma once

#include "jaylane/base/HybridClock.h"
#include "jaylane/ctl/Fleet.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace jaylane::ctl {

struct TimelineEvent
{
  base::HybridStamp m_stamp;
  std::uint64_t m_sequence = 0;
  std::string m_vm;
  std::string m_kind;
  Json::Value m_fields;
};

/// Events of several VMs in the order of their hybrid stamps.
class Timeline
{
public:
  /// @param aEvents in any order.
  explicit Timeline(std::vector<TimelineEvent> aEvents);

  /// Reads the events of a VM, page by page, as long as pages arrive.
  /// @param aEvents receives the events; malformed ones are left out.
  /// @return whether all pages were read.
  static bool Read(AdminClient& aClient,
                   const std::string& aAddress,
                   std::vector<TimelineEvent>& aEvents);

  std::string ToText() const;
  Json::Value ToJson() const;

  /// @return a self-contained page: a column per VM, a filter by kind, everything escaped.
  std::string ToHtml() const;

  const std::vector<TimelineEvent>& Events() const { return m_events; }

private:
  std::vector<TimelineEvent> m_events;
};

} // namespace jaylane::ctl
