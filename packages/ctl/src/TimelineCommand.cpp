#include "Commands.h"
#include "Text.h"
#include "jaylane/ctl/Timeline.h"

#include <algorithm>

namespace jaylane::ctl {

namespace {

/// Reads the events of all VMs that were named or discovered. Prints a warning for each VM whose
/// events could not all be read.
/// @return whether the events of any VM were read completely.
bool ReadAll(std::vector<TimelineEvent>& aEvents, CtlContext& aContext)
{
  std::vector<std::string> addresses;
  for (const VmInfo& vm : aContext.m_fleet.Discover()) {
    addresses.push_back(vm.m_adminAddress);
  }
  for (const std::string& named : aContext.m_fleet.Vms()) {
    if (std::find(addresses.begin(), addresses.end(), named) == addresses.end()) {
      addresses.push_back(named);
    }
  }
  bool any = false;
  for (const std::string& address : addresses) {
    if (Timeline::Read(aContext.m_fleet.Client(), address, aEvents)) {
      any = true;
    } else {
      aContext.m_err << "warning: the timeline lacks events of " << Printable(address) << "\n";
    }
  }
  return any;
}

} // namespace

ExitCode RunTimeline(const Arguments& aArguments, CtlContext& aContext)
{
  const std::string& format = aContext.m_options.m_timelineFormat;
  if (!aArguments.empty() || (format != "text" && format != "json" && format != "html")) {
    return ReportUsage("timeline [--format text|json|html] [--kinds KIND,...]", aContext);
  }
  std::vector<TimelineEvent> events;
  if (!ReadAll(events, aContext)) {
    aContext.m_err << "error: no VM answered\n";
    return ExitCode::Unreachable;
  }
  const std::vector<std::string>& kinds = aContext.m_options.m_kinds;
  std::erase_if(events, [&](const TimelineEvent& aEvent) {
    return !kinds.empty() && std::find(kinds.begin(), kinds.end(), aEvent.m_kind) == kinds.end();
  });
  const Timeline timeline(std::move(events));
  if (format == "html") {
    aContext.m_out << timeline.ToHtml();
  } else if (format == "json" || aContext.m_options.m_output == OutputFormat::Json) {
    aContext.m_out << IndentedJson(timeline.ToJson());
  } else {
    aContext.m_out << timeline.ToText();
  }
  return ExitCode::Ok;
}

} // namespace jaylane::ctl
