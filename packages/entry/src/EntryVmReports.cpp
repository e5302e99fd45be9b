// Reports of an entry VM for the administration API.
#include "EntryVmImpl.h"

#include "ForecastReport.h"
#include "StatusReport.h"

#include <utility>

namespace jaylane::entry {

Json::Value EntryVm::Impl::Status() const
{
  // Read before the generation received, so that it is never the higher one of the two.
  const std::uint64_t inEffect = m_generationInEffect;
  Json::Value json = MakeStatus(m_context,
                                *m_directory.Current(),
                                { m_lifecycle.State(),
                                  m_adminServer->Address().ToString(),
                                  m_config.Generation(),
                                  inEffect,
                                  m_storeSync.IsReachable() });
  json["in_flight"] = Json::UInt64(m_callerServer->InFlight());
  json["shifts"] = m_shiftController.Status();
  json["services"] = Json::arrayValue;
  for (const auto& [service, dispatcher] : Dispatchers()) {
    Json::Value entry = dispatcher->Status();
    const auto table = m_steering.Applied(service);
    entry["table_generation"] = Json::UInt64(table ? table->Generation() : 0);
    json["services"].append(std::move(entry));
  }
  return json;
}

Json::Value EntryVm::Impl::Metrics()
{
  Json::Value json(Json::objectValue);
  json["requests"] = m_metrics.ToJson();
  json["store_calls"] = m_storeSync.ToJson();
  json["peers"] = m_peerService.ToJson();
  json["ledger_keys"] = Json::UInt64(m_ledger.size());
  return json;
}

Json::Value EntryVm::Impl::Forecast(const settings::SettingsDocument& aDocument) const
{
  Json::Value json(Json::arrayValue);
  const auto config = m_config.Build(aDocument.Serialize());
  if (!config) {
    return json;
  }
  for (const auto& [name, service] : (*config)->m_services) {
    const auto forecast = m_shiftController.Forecast(**config, service);
    if (!forecast) {
      json.append(MakeForecastProblem(name, "the service has no steering table yet"));
    } else if (!*forecast) {
      json.append(MakeForecastProblem(name, forecast->GetError().Message()));
    } else {
      json.append(MakeForecastReport(name, **forecast));
    }
  }
  return json;
}

} // namespace jaylane::entry
