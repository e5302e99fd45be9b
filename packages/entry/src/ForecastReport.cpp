#include "ForecastReport.h"

#include "jaylane/settings/TreeSections.h"

namespace jaylane::entry {

namespace {

Json::Value MakeSteps(const policy::Forecast& aForecast)
{
  Json::Value steps(Json::arrayValue);
  for (const policy::ForecastStep& step : aForecast.m_steps) {
    Json::Value entry(Json::objectValue);
    entry["at"] = settings::FormatTime(step.m_at);
    entry["moved_share"] = step.m_movedShare;
    for (std::size_t i = 0; i < policy::kMoveReasonCount; ++i) {
      if (step.m_movedByReason[i] > 0) {
        const auto reason = static_cast<policy::MoveReason>(i);
        entry["reasons"][std::string(to_string(reason))] = step.m_movedByReason[i];
      }
    }
    steps.append(std::move(entry));
  }
  return steps;
}

Json::Value MakePeak(const policy::PeakUtilization& aPeak)
{
  Json::Value peak(Json::objectValue);
  for (const char* list : { "sites", "regions", "links" }) {
    peak[list] = Json::arrayValue;
  }
  for (const auto& [site, use] : aPeak.m_sites) {
    Json::Value entry(Json::objectValue);
    entry["site"] = site.m_region + "/" + site.m_zone;
    entry["use"] = use;
    peak["sites"].append(std::move(entry));
  }
  for (const auto& [region, use] : aPeak.m_regions) {
    Json::Value entry(Json::objectValue);
    entry["region"] = region;
    entry["use"] = use;
    peak["regions"].append(std::move(entry));
  }
  for (const auto& [pair, load] : aPeak.m_links) {
    if (pair.first == pair.second || load <= 0) {
      continue;
    }
    Json::Value entry(Json::objectValue);
    entry["from"] = pair.first;
    entry["to"] = pair.second;
    entry["load"] = load;
    peak["links"].append(std::move(entry));
  }
  return peak;
}

} // namespace

const char* PlanStateName(policy::PlanState aState)
{
  switch (aState) {
    case policy::PlanState::Settled:
      return "settled";
    case policy::PlanState::Step:
      return "step";
    case policy::PlanState::StepPending:
      return "step-pending";
    case policy::PlanState::CapReached:
      return "cap-reached";
    case policy::PlanState::NoCapacity:
      return "no-capacity";
    case policy::PlanState::TooHeavy:
      break;
  }
  return "too-heavy";
}

Json::Value MakeForecastReport(const std::string& aService, const policy::Forecast& aForecast)
{
  Json::Value json(Json::objectValue);
  json["service"] = aService;
  json["state"] = PlanStateName(aForecast.m_finalState);
  json["end_at"] = settings::FormatTime(aForecast.m_endAt);
  double moved = 0;
  for (const policy::ForecastStep& step : aForecast.m_steps) {
    moved += step.m_movedShare;
  }
  json["moved_share"] = moved;
  json["steps"] = MakeSteps(aForecast);
  json["peak"] = MakePeak(aForecast.m_peak);
  json["laws"] = Json::arrayValue;
  for (const policy::RuleForecast& rule : aForecast.m_rules) {
    Json::Value entry(Json::objectValue);
    entry["id"] = rule.m_ruleId;
    entry["effective_at"] = settings::FormatTime(rule.m_effectiveAt);
    entry["refused_share"] = rule.m_refusedShare;
    json["laws"].append(std::move(entry));
  }
  return json;
}

Json::Value MakeForecastProblem(const std::string& aService, const std::string& aProblem)
{
  Json::Value json(Json::objectValue);
  json["service"] = aService;
  json["problem"] = aProblem;
  return json;
}

} // namespace jaylane::entry
