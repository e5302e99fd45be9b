#include "LoadReport.h"

#include "jaylane/base/JsonText.h"

#include <charconv>

namespace jaylane::entry {

namespace {

base::Error Malformed()
{
  return { make_error_code(base::BaseErrc::InvalidValue), "load report" };
}

bool ReadOrigin(const Json::Value& aJson, OriginLoad& aLoad)
{
  if (!aJson.isObject() || !aJson["total"].isNumeric() || !aJson["hot"].isObject()) {
    return false;
  }
  aLoad.m_total = aJson["total"].asDouble();
  for (const std::string& name : aJson["hot"].getMemberNames()) {
    std::uint32_t bucket = 0;
    const char* const last = name.data() + name.size();
    const auto parsed = std::from_chars(name.data(), last, bucket);
    if (parsed.ec != std::errc{} || parsed.ptr != last || !aJson["hot"][name].isNumeric()) {
      return false;
    }
    aLoad.m_hotBuckets[bucket] = aJson["hot"][name].asDouble();
  }
  return aLoad.m_total >= 0;
}

} // namespace

void LoadReport::Add(const LoadReport& aOther)
{
  for (const auto& [service, origins] : aOther.m_services) {
    for (const auto& [origin, load] : origins) {
      OriginLoad& sum = m_services[service][origin];
      sum.m_total += load.m_total;
      for (const auto& [bucket, bucketLoad] : load.m_hotBuckets) {
        sum.m_hotBuckets[bucket] += bucketLoad;
      }
    }
  }
}

std::string LoadReport::ToText() const
{
  Json::Value json(Json::objectValue);
  for (const auto& [service, origins] : m_services) {
    for (const auto& [origin, load] : origins) {
      Json::Value& entry = json[service][origin];
      entry["total"] = load.m_total;
      entry["hot"] = Json::objectValue;
      for (const auto& [bucket, bucketLoad] : load.m_hotBuckets) {
        entry["hot"][std::to_string(bucket)] = bucketLoad;
      }
    }
  }
  return base::WriteJson(json);
}

base::Result<LoadReport> LoadReport::Parse(std::string_view aText)
{
  const auto json = base::ParseJson(aText);
  if (!json || !json->isObject()) {
    return Malformed();
  }
  LoadReport report;
  for (const std::string& service : json->getMemberNames()) {
    if (!(*json)[service].isObject()) {
      return Malformed();
    }
    for (const std::string& origin : (*json)[service].getMemberNames()) {
      if (!ReadOrigin((*json)[service][origin], report.m_services[service][origin])) {
        return Malformed();
      }
    }
  }
  return report;
}

} // namespace jaylane::entry
