#include "jaylane/testing/HistoryRules.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/TestingError.h"

namespace jaylane::testing {

namespace {

/// @param aValue keeps its value if the member is absent.
/// @return false if the member is present but not a valid duration.
bool ReadMillis(const Json::Value& aJson, const char* aName, std::chrono::milliseconds& aValue)
{
  if (!aJson.isMember(aName)) {
    return true;
  }
  if (!aJson[aName].isUInt()) {
    return false;
  }
  aValue = std::chrono::milliseconds{ aJson[aName].asUInt() };
  return true;
}

bool ReadLegalRule(const Json::Value& aJson, LegalRule& aRule)
{
  if (!aJson.isObject() || !aJson["service"].isString() || !aJson["origin_region"].isString() ||
      !aJson["allowed_regions"].isArray() || !aJson["effective_at_ms"].isNumeric()) {
    return false;
  }
  aRule.m_service = aJson["service"].asString();
  aRule.m_origin = aJson["origin_region"].asString();
  aRule.m_effectiveMillis = aJson["effective_at_ms"].asDouble();
  for (const Json::Value& region : aJson["allowed_regions"]) {
    if (!region.isString()) {
      return false;
    }
    aRule.m_allowedRegions.insert(region.asString());
  }
  return true;
}

} // namespace

base::Result<HistoryRules> HistoryRules::Parse(std::string_view aText)
{
  const auto json = platform::ParseJsonObject(aText);
  HistoryRules rules;
  if (!json || !ReadMillis(*json, "leaving_limit_ms", rules.m_leavingLimit) ||
      !ReadMillis(*json, "legal_grace_ms", rules.m_legalGrace)) {
    return MakeError(TestingErrc::Malformed, "history rules");
  }
  if (json->isMember("legal") && !(*json)["legal"].isArray()) {
    return MakeError(TestingErrc::Malformed, "legal rules");
  }
  for (const Json::Value& item : (*json)["legal"]) {
    LegalRule rule;
    if (!ReadLegalRule(item, rule)) {
      return MakeError(TestingErrc::Malformed, "legal rule");
    }
    rules.m_legalRules.push_back(std::move(rule));
  }
  return rules;
}

} // namespace jaylane::testing
