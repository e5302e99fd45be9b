#include "jaylane/settings/Edit.h"

#include "ValueSpec.h"
#include "jaylane/settings/SettingsError.h"

#include <set>

namespace jaylane::settings {

namespace {

/// Maximum number of changes in an edit. Applying a whole file is one edit; larger ones would
/// displace most other edits from the size-limited history.
constexpr std::size_t kMaxChanges = 10'000;

base::Error Malformed(std::string aDetail)
{
  return { SettingsErrc::MalformedEdit, std::move(aDetail) };
}

base::Result<Change> ChangeFromJson(const Json::Value& aJson)
{
  if (!aJson.isObject() || !aJson["path"].isString() || !aJson["key"].isString()) {
    return Malformed("expected a change with strings as path and key");
  }
  if (!aJson.isMember("value")) {
    // Removal needs an explicit null, so that a forgotten value does not remove the key.
    return Malformed("expected a value; null removes the key");
  }
  Change change{ aJson["path"].asString(), aJson["key"].asString(), std::nullopt };
  if (!aJson["value"].isNull()) {
    change.m_value = aJson["value"];
  }
  return change;
}

base::Result<std::vector<Change>> ChangesFromJson(const Json::Value& aJson)
{
  Json::Value list = aJson["changes"];
  if (!aJson.isMember("changes")) {
    list = Json::arrayValue;
    list.append(aJson);
  }
  if (!list.isArray() || list.empty() || list.size() > kMaxChanges) {
    return Malformed("expected 1 to 10000 changes");
  }
  std::vector<Change> changes;
  std::set<std::pair<std::string, std::string>> seen;
  for (const Json::Value& element : list) {
    base::Result<Change> change = ChangeFromJson(element);
    if (!change) {
      return change.GetError();
    }
    if (!seen.emplace(change->m_path, change->m_key).second) {
      return Malformed("expected each key once, found " + change->m_path + " " + change->m_key +
                       " again");
    }
    changes.push_back(std::move(*change));
  }
  return changes;
}

} // namespace

Json::Value ToJson(const Change& aChange)
{
  Json::Value json(Json::objectValue);
  json["path"] = aChange.m_path;
  json["key"] = aChange.m_key;
  json["value"] = aChange.m_value.value_or(Json::nullValue);
  return json;
}

Json::Value ToJson(const std::vector<Change>& aChanges)
{
  Json::Value json(Json::arrayValue);
  for (const Change& change : aChanges) {
    json.append(ToJson(change));
  }
  return json;
}

Json::Value Edit::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["id"] = m_id;
  json["base_generation"] = Json::UInt64(m_baseGeneration);
  json["changes"] = settings::ToJson(m_changes);
  return json;
}

base::Result<Edit> Edit::FromJson(const Json::Value& aJson)
{
  if (!aJson.isObject()) {
    return Malformed("expected an object");
  }
  if (!aJson["id"].isString() || !IsIdentifier(aJson["id"].asString())) {
    return Malformed("expected an id of 1 to 63 letters, digits, \".\", \"_\" or \"-\"");
  }
  if (!aJson["base_generation"].isUInt64()) {
    return Malformed("expected a whole number as base_generation");
  }
  base::Result<std::vector<Change>> changes = ChangesFromJson(aJson);
  if (!changes) {
    return changes.GetError();
  }
  return Edit{ aJson["id"].asString(), aJson["base_generation"].asUInt64(), std::move(*changes) };
}

Json::Value HistoryEntry::ToJson() const
{
  Json::Value json = m_edit.ToJson();
  json["generation"] = Json::UInt64(m_generation);
  json["who"] = m_author;
  json["at"] = FormatTime(m_time);
  return json;
}

base::Result<HistoryEntry> HistoryEntry::FromJson(const Json::Value& aJson)
{
  base::Result<Edit> edit = Edit::FromJson(aJson);
  if (!edit) {
    return edit.GetError();
  }
  const Json::Value& at = aJson["at"];
  const std::optional<base::WallTime> time =
    at.isString() ? ParseTime(at.asString()) : std::nullopt;
  if (!aJson["generation"].isUInt64() || !aJson["who"].isString() || !time) {
    return Malformed("expected generation, who and at in a history entry");
  }
  return HistoryEntry{
    aJson["generation"].asUInt64(), std::move(*edit), aJson["who"].asString(), *time
  };
}

} // namespace jaylane::settings
