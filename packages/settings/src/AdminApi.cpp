#include "jaylane/settings/AdminApi.h"

#include "jaylane/base/Secrets.h"

#include "jaylane/settings/JsonText.h"
#include "jaylane/settings/SettingsError.h"

#include <fmt/format.h>

namespace jaylane::settings {

namespace {

/// Maximum number of effective differences that a plan lists. A change at the root of a large tree
/// affects every site.
constexpr std::size_t kMaxPlanDifferences = 200;

base::Result<Json::Value> ParseBody(std::string_view aBody)
{
  base::Result<Json::Value> json = ParseJson(aBody);
  if (!json) {
    return base::Error{ SettingsErrc::MalformedEdit, json.GetError().m_detail };
  }
  if (!json->isObject()) {
    return base::Error{ SettingsErrc::MalformedEdit, "expected a JSON object" };
  }
  return json;
}

/// HTTP status and error code that stand for an error of this package.
struct HttpError
{
  int m_status;
  const char* m_code;
};

HttpError HttpErrorOf(SettingsErrc aCode)
{
  switch (aCode) {
    case SettingsErrc::Conflict:
      return { 409, "conflict" };
    case SettingsErrc::BaseTooOld:
      return { 409, "base-too-old" };
    case SettingsErrc::BaseInFuture:
      return { 409, "base-in-future" };
    case SettingsErrc::IdReused:
      return { 409, "id-reused" };
    case SettingsErrc::TooLarge:
      return { 413, "too-large" };
    case SettingsErrc::InvalidTree:
      return { 422, "invalid-tree" };
    case SettingsErrc::MalformedEdit:
      return { 400, "malformed" };
    case SettingsErrc::NotFound:
      return { 404, "not-found" };
    case SettingsErrc::Unauthorized:
      return { 401, "unauthorized" };
    case SettingsErrc::Forbidden:
      return { 403, "forbidden" };
    case SettingsErrc::MalformedDocument:
    case SettingsErrc::Ok:
      break;
  }
  return { 500, "internal" };
}

AdminResponse RejectionResponse(const MergeResult& aResult)
{
  const HttpError httpError = HttpErrorOf(aResult.m_code);
  const std::string message = make_error_code(aResult.m_code).message();
  AdminResponse response = AdminApi::Error(httpError.m_status, httpError.m_code, message);
  Json::Value& error = response.m_body["error"];
  error["current_generation"] = Json::UInt64(aResult.m_generation);
  if (aResult.m_conflict) {
    const EditConflict& conflict = *aResult.m_conflict;
    error["path"] = conflict.m_path;
    error["key"] = conflict.m_key;
    error["yours"] = conflict.m_yours.value_or(Json::nullValue);
    error["theirs"] = conflict.m_theirs.value_or(Json::nullValue);
    error["who"] = conflict.m_author;
    error["at"] = FormatTime(conflict.m_time);
    error["generation"] = Json::UInt64(conflict.m_generation);
  }
  if (!aResult.m_diagnostics.empty()) {
    error["key"] = aResult.m_diagnostics.front().m_key;
    error["diagnostics"] = ToJson(aResult.m_diagnostics);
  }
  return response;
}

/// Compares the effective settings of every site and service before and after an edit.
class EffectiveDifference
{
public:
  EffectiveDifference(const SettingsTree& aOld, const SettingsTree& aNew)
    : m_old(aOld)
    , m_new(aNew)
  {
  }

  /// Writes the members "effective" and "effective_total" of a plan.
  void AddTo(Json::Value& aBody)
  {
    m_list = Json::arrayValue;
    for (const Region& region : m_new.Regions()) {
      for (const Service& service : m_new.Services()) {
        for (const std::string& zone : region.m_zones) {
          Compare(region.m_name, service.m_name, zone);
        }
      }
    }
    aBody["effective"] = m_list;
    aBody["effective_total"] = Json::UInt64(m_total);
  }

private:
  void Compare(const std::string& aRegion, const std::string& aService, const std::string& aZone)
  {
    const Json::Value before = m_old.Effective(aRegion, aService, aZone).ToJson();
    const Json::Value after = m_new.Effective(aRegion, aService, aZone).ToJson();
    for (const std::string& key : after.getMemberNames()) {
      if (before[key]["value"] == after[key]["value"]) {
        continue;
      }
      ++m_total;
      if (m_list.size() < kMaxPlanDifferences) {
        Json::Value entry(Json::objectValue);
        entry["path"] = fmt::format("/{}/{}/{}", aRegion, aService, aZone);
        entry["key"] = key;
        entry["old"] = before[key]["value"];
        entry["new"] = after[key]["value"];
        m_list.append(entry);
      }
    }
  }

  const SettingsTree& m_old;
  const SettingsTree& m_new;
  Json::Value m_list;
  std::size_t m_total = 0;
};

} // namespace

base::Result<std::string> AdminApi::Authorize(const std::vector<AdminToken>& aTokens,
                                              std::string_view aAuthorization,
                                              AdminRole aNeeded)
{
  constexpr std::string_view kScheme = "Bearer ";
  if (!aAuthorization.starts_with(kScheme)) {
    return base::Error{ SettingsErrc::Unauthorized, {} };
  }
  const std::string_view given = aAuthorization.substr(kScheme.size());
  const AdminToken* match = nullptr;
  // Compares with all tokens, so that the duration does not reveal which one matches.
  for (const AdminToken& token : aTokens) {
    if (base::EqualSecrets(given, token.m_token)) {
      match = &token;
    }
  }
  if (!match) {
    return base::Error{ SettingsErrc::Unauthorized, {} };
  }
  if (aNeeded == AdminRole::Write && match->m_role != AdminRole::Write) {
    return base::Error{ SettingsErrc::Forbidden, match->m_name };
  }
  return match->m_name;
}

base::Result<Edit> AdminApi::ParseEdit(std::string_view aBody)
{
  base::Result<Json::Value> json = ParseBody(aBody);
  return json ? Edit::FromJson(*json) : json.GetError();
}

base::Result<Edit> AdminApi::ParseDrain(std::string_view aBody, bool aRemove)
{
  base::Result<Json::Value> json = ParseBody(aBody);
  if (!json) {
    return json.GetError();
  }
  Json::Value edit(Json::objectValue);
  edit["id"] = (*json)["id"];
  edit["base_generation"] = (*json)["base_generation"];
  edit["path"] = "@drains";
  for (const char* scope : { "site", "region", "upstream" }) {
    const Json::Value& target = (*json)[scope];
    if (!target.isString()) {
      continue;
    }
    if (edit.isMember("key")) {
      return base::Error{ SettingsErrc::MalformedEdit,
                          "expected only one of site, region and upstream" };
    }
    edit["key"] = std::string(scope) + ":" + target.asString();
    if (aRemove) {
      edit["value"] = Json::nullValue;
    } else {
      edit["value"][scope] = target;
      // The client sends the time, so that a repeated request results in the same edit.
      edit["value"]["since"] = (*json)["since"];
    }
  }
  if (!edit.isMember("key")) {
    return base::Error{ SettingsErrc::MalformedEdit, "expected site, region or upstream" };
  }
  return Edit::FromJson(edit);
}

AdminResponse AdminApi::Settings(const SettingsDocument& aDocument)
{
  AdminResponse response;
  response.m_body["generation"] = Json::UInt64(aDocument.m_generation);
  response.m_body["tree"] = aDocument.m_tree.ToJson();
  return response;
}

AdminResponse AdminApi::Effective(const SettingsDocument& aDocument, const std::string& aPath)
{
  const std::optional<EffectiveSettings> effective = aDocument.m_tree.EffectiveAt(aPath);
  if (!effective) {
    return Error(400, "malformed", "expected a node path", aPath);
  }
  AdminResponse response;
  response.m_body["generation"] = Json::UInt64(aDocument.m_generation);
  response.m_body["path"] = aPath;
  response.m_body["settings"] = effective->ToJson();
  return response;
}

AdminResponse AdminApi::History(const SettingsDocument& aDocument)
{
  AdminResponse response;
  response.m_body["generation"] = Json::UInt64(aDocument.m_generation);
  response.m_body["history"] = Json::arrayValue;
  for (const HistoryEntry& entry : aDocument.m_history) {
    response.m_body["history"].append(entry.ToJson());
  }
  return response;
}

AdminResponse AdminApi::EditStatusOf(const SettingsDocument& aDocument,
                                     const std::string& aId,
                                     std::uint64_t aBaseGeneration)
{
  AdminResponse response;
  response.m_body["id"] = aId;
  response.m_body["current_generation"] = Json::UInt64(aDocument.m_generation);
  switch (EditMerger::StatusOf(aDocument, aId, aBaseGeneration)) {
    case EditStatus::Accepted:
      response.m_body["outcome"] = "accepted";
      break;
    case EditStatus::NotAccepted:
      response.m_body["outcome"] = "not-accepted";
      break;
    case EditStatus::Unknown:
      response.m_body["outcome"] = "unknown";
      break;
  }
  for (const HistoryEntry& entry : aDocument.m_history) {
    if (entry.m_edit.m_id == aId) {
      response.m_body["generation"] = Json::UInt64(entry.m_generation);
    }
  }
  return response;
}

AdminResponse AdminApi::MergeResponse(const MergeResult& aResult, const Edit& aEdit)
{
  if (aResult.m_outcome == MergeOutcome::Rejected) {
    return RejectionResponse(aResult);
  }
  AdminResponse response;
  response.m_body["outcome"] = "accepted";
  response.m_body["id"] = aEdit.m_id;
  response.m_body["generation"] = Json::UInt64(aResult.m_generation);
  response.m_body["repeated"] = aResult.m_outcome == MergeOutcome::AlreadyAccepted;
  response.m_body["warnings"] = ToJson(aResult.m_diagnostics);
  return response;
}

AdminResponse AdminApi::Plan(const SettingsDocument& aDocument, const Edit& aEdit)
{
  const MergeResult result = EditMerger::Merge(aDocument, aEdit, {});
  if (result.m_outcome != MergeOutcome::Accepted) {
    AdminResponse response = MergeResponse(result, aEdit);
    if (result.m_outcome == MergeOutcome::AlreadyAccepted) {
      response.m_body["outcome"] = "already-accepted";
    }
    return response;
  }
  AdminResponse response;
  Json::Value& body = response.m_body;
  body["outcome"] = "would-accept";
  body["current_generation"] = Json::UInt64(aDocument.m_generation);
  body["warnings"] = ToJson(result.m_diagnostics);
  body["changes"] = Json::arrayValue;
  for (const Change& change : aEdit.m_changes) {
    Json::Value entry(Json::objectValue);
    entry["path"] = change.m_path;
    entry["key"] = change.m_key;
    entry["old"] = aDocument.m_tree.Find(change.m_path, change.m_key).value_or(Json::nullValue);
    entry["new"] = change.m_value.value_or(Json::nullValue);
    body["changes"].append(entry);
  }
  EffectiveDifference(aDocument.m_tree, result.m_document->m_tree).AddTo(body);
  return response;
}

AdminResponse AdminApi::Error(int aStatus,
                              std::string_view aCode,
                              std::string_view aMessage,
                              std::string_view aKey)
{
  AdminResponse response;
  response.m_status = aStatus;
  Json::Value& error = response.m_body["error"];
  error["code"] = std::string(aCode);
  error["message"] = std::string(aMessage);
  error["key"] = std::string(aKey);
  return response;
}

AdminResponse AdminApi::Error(const base::Error& aError)
{
  if (aError.m_code.category() != SettingsCategory()) {
    return Error(500, "internal", aError.m_code.message());
  }
  const HttpError httpError = HttpErrorOf(static_cast<SettingsErrc>(aError.m_code.value()));
  return Error(httpError.m_status, httpError.m_code, aError.Message());
}

} // namespace jaylane::settings
