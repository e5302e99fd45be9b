#include "jaylane/settings/SettingsDocument.h"

#include "jaylane/settings/JsonText.h"
#include "jaylane/settings/SettingsError.h"

#include <json/writer.h>

namespace jaylane::settings {

namespace {

base::Error Malformed(std::string aDetail)
{
  return { SettingsErrc::MalformedDocument, std::move(aDetail) };
}

base::Result<std::vector<HistoryEntry>> ReadHistory(const Json::Value& aJson,
                                                    std::uint64_t aGeneration)
{
  if (!aJson.isArray() || aJson.size() > SettingsDocument::kMaxHistory) {
    return Malformed("expected a history of at most 50 edits");
  }
  std::vector<HistoryEntry> history;
  for (const Json::Value& element : aJson) {
    base::Result<HistoryEntry> entry = HistoryEntry::FromJson(element);
    if (!entry) {
      return Malformed(entry.GetError().Message());
    }
    // EditMerger relies on consecutive generations to detect conflicts.
    if (entry->m_generation + aJson.size() != aGeneration + history.size() + 1) {
      return Malformed("expected a history without gaps up to the generation");
    }
    history.push_back(std::move(*entry));
  }
  return history;
}

} // namespace

Json::Value SettingsDocument::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["generation"] = Json::UInt64(m_generation);
  json["writer"] = m_writer;
  json["nonce"] = m_nonce;
  json["tree"] = m_tree.ToJson();
  json["history"] = Json::arrayValue;
  for (const HistoryEntry& entry : m_history) {
    json["history"].append(entry.ToJson());
  }
  return json;
}

std::string SettingsDocument::Serialize() const
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, ToJson());
}

base::Result<SettingsDocument> SettingsDocument::FromJson(const Json::Value& aJson)
{
  if (!aJson.isObject() || !aJson["generation"].isUInt64() || !aJson["writer"].isString() ||
      !aJson["nonce"].isString()) {
    return Malformed("expected generation, writer and nonce");
  }
  SettingsDocument document;
  document.m_generation = aJson["generation"].asUInt64();
  document.m_writer = aJson["writer"].asString();
  document.m_nonce = aJson["nonce"].asString();
  Parsed<SettingsTree> tree = SettingsTree::FromJson(aJson["tree"]);
  if (!tree) {
    return Malformed(ToString(tree.m_diagnostics));
  }
  document.m_tree = std::move(*tree.m_value);
  base::Result<std::vector<HistoryEntry>> history =
    ReadHistory(aJson["history"], document.m_generation);
  if (!history) {
    return history.GetError();
  }
  document.m_history = std::move(*history);
  return document;
}

base::Result<SettingsDocument> SettingsDocument::Parse(std::string_view aText)
{
  const base::Result<Json::Value> json = ParseJson(aText);
  return json ? FromJson(*json) : json.GetError();
}

} // namespace jaylane::settings
