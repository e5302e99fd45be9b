#include "RequestMetrics.h"

namespace jaylane::entry {

void RequestMetrics::Record(const RequestResult& aResult, std::chrono::nanoseconds aDuration)
{
  m_latency.Record(aDuration);
  std::lock_guard lock(m_mutex);
  ++m_outcomes[static_cast<std::size_t>(aResult.m_outcome)];
  // All error codes are constants of the program, which bounds the map.
  if (!aResult.m_error.empty()) {
    ++m_errors[aResult.m_error];
  }
}

Json::Value RequestMetrics::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["latency"] = m_latency.ToJson();
  std::lock_guard lock(m_mutex);
  json["completed"] = Json::UInt64(m_outcomes[static_cast<std::size_t>(Outcome::Completed)]);
  json["not_run"] = Json::UInt64(m_outcomes[static_cast<std::size_t>(Outcome::NotRun)]);
  json["unknown"] = Json::UInt64(m_outcomes[static_cast<std::size_t>(Outcome::Unknown)]);
  json["errors"] = Json::objectValue;
  for (const auto& [code, count] : m_errors) {
    json["errors"][code] = Json::UInt64(count);
  }
  return json;
}

} // namespace jaylane::entry
