#include "jaylane/ctl/Timeline.h"

#include "Text.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace jaylane::ctl {

namespace {

/// Maximum number of pages to read from a VM, which may record events faster than they are read.
constexpr int kMaxPages = 1000;

bool ParseEvent(const Json::Value& aJson, TimelineEvent& aEvent)
{
  if (!aJson.isObject() || !aJson["stamp"].isString() || !aJson["sequence"].isUInt64() ||
      !aJson["process"].isString() || !aJson["kind"].isString()) {
    return false;
  }
  const auto stamp = base::HybridStamp::Parse(aJson["stamp"].asString());
  if (!stamp) {
    return false;
  }
  aEvent = { *stamp,
             aJson["sequence"].asUInt64(),
             aJson["process"].asString(),
             aJson["kind"].asString(),
             aJson["fields"] };
  return true;
}

} // namespace

Timeline::Timeline(std::vector<TimelineEvent> aEvents)
  : m_events(std::move(aEvents))
{
  auto key = [](const TimelineEvent& aEvent) {
    return std::tie(aEvent.m_stamp, aEvent.m_vm, aEvent.m_sequence);
  };
  std::sort(m_events.begin(), m_events.end(), [&](const auto& aLeft, const auto& aRight) {
    return key(aLeft) < key(aRight);
  });
  // A VM that was read at two addresses has each of its events twice.
  const auto end =
    std::unique(m_events.begin(), m_events.end(), [&](const auto& aLeft, const auto& aRight) {
      return key(aLeft) == key(aRight);
    });
  m_events.erase(end, m_events.end());
}

bool Timeline::Read(AdminClient& aClient,
                    const std::string& aAddress,
                    std::vector<TimelineEvent>& aEvents)
{
  std::uint64_t after = 0;
  for (int page = 0; page < kMaxPages; ++page) {
    const std::string path = fmt::format("/v1/timeline?after={}", after);
    const AdminClientResponse response = aClient.Send(aAddress, { "GET", path, {} });
    if (!response.Succeeded() || !response.m_body["events"].isArray()) {
      return false;
    }
    if (response.m_body["events"].empty()) {
      return true;
    }
    for (const Json::Value& json : response.m_body["events"]) {
      TimelineEvent event;
      if (ParseEvent(json, event)) {
        aEvents.push_back(std::move(event));
      }
    }
    const Json::Value& last = response.m_body["last"];
    if (!last.isUInt64() || last.asUInt64() <= after) {
      return false;
    }
    after = last.asUInt64();
  }
  return false;
}

std::string Timeline::ToText() const
{
  std::string text;
  for (const TimelineEvent& event : m_events) {
    text += fmt::format("{} {} {} {}\n",
                        FormatMillis(event.m_stamp.m_millis),
                        Printable(event.m_vm),
                        Printable(event.m_kind),
                        CompactJson(event.m_fields));
  }
  return text;
}

Json::Value Timeline::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["events"] = Json::arrayValue;
  for (const TimelineEvent& event : m_events) {
    Json::Value entry(Json::objectValue);
    entry["stamp"] = event.m_stamp.ToString();
    entry["time"] = FormatMillis(event.m_stamp.m_millis);
    entry["sequence"] = Json::UInt64(event.m_sequence);
    entry["vm"] = event.m_vm;
    entry["kind"] = event.m_kind;
    entry["fields"] = event.m_fields;
    json["events"].append(entry);
  }
  return json;
}

} // namespace jaylane::ctl
