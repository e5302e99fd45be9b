#include "jaylane/testing/UpstreamControls.h"

namespace jaylane::testing {

using std::chrono::milliseconds;

namespace {

void ReadNumber(const Json::Value& aJson, const char* aName, unsigned& aValue)
{
  if (aJson[aName].isUInt()) {
    aValue = aJson[aName].asUInt();
  }
}

void ReadFlag(const Json::Value& aJson, const char* aName, bool& aValue)
{
  if (aJson[aName].isBool()) {
    aValue = aJson[aName].asBool();
  }
}

void ReadMillis(const Json::Value& aJson, const char* aName, milliseconds& aValue)
{
  if (aJson[aName].isUInt()) {
    aValue = milliseconds{ aJson[aName].asUInt() };
  }
}

} // namespace

void UpstreamControls::Apply(const Json::Value& aJson)
{
  ReadFlag(aJson, "leaving", m_leaving);
  ReadFlag(aJson, "reports_stopped", m_reportsStopped);
  if (aJson["health"].isString()) {
    m_health = aJson["health"].asString();
  }
  if (aJson["load_error"].isInt()) {
    m_loadError = aJson["load_error"].asInt();
  }
  ReadMillis(aJson, "load_lag_ms", m_loadLag);
  ReadMillis(aJson, "service_ms", m_serviceTime);
  ReadNumber(aJson, "close_next", m_closeNext);
  ReadNumber(aJson, "truncate_next", m_truncateNext);
  ReadNumber(aJson, "slow_next", m_slowNext);
  ReadNumber(aJson, "wrong_attempt_next", m_wrongAttemptNext);
}

} // namespace jaylane::testing
