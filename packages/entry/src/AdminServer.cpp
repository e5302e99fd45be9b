#include "AdminServer.h"

#include "jaylane/base/JsonText.h"
#include "jaylane/platform/PlatformError.h"
#include "jaylane/settings/EditMerger.h"

#include <charconv>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr const char* kSettingsKey = "settings/tree";
constexpr std::string_view kEditsPrefix = "/v1/edits/";
constexpr std::chrono::milliseconds kCallTimeout{ 2000 };
// Concurrent edits are rare. After a conflict an edit is merged again with the new version.
constexpr unsigned kMaxWriteAttempts = 10;
// Bounds the size of one response; clients request the rest with ?after=.
constexpr unsigned kMaxEvents = 1000;

using settings::AdminApi;
using settings::AdminResponse;

std::uint64_t ToNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

base::SocketAddress ToAddress(const settings::HostPort& aAddress)
{
  const auto host = base::SocketAddress::ParseHost(aAddress.m_host);
  return { host ? *host : 0, aAddress.m_port };
}

AdminResponse NoSuchPath()
{
  return AdminApi::Error(404, "not-found", "the administration API has no such path");
}

AdminResponse StoreError(const base::Error& aError)
{
  if (aError.m_code == platform::PlatformErrc::TooLarge) {
    return AdminApi::Error(413, "too-large", "the document would exceed the store's limit");
  }
  return AdminApi::Error(503, "store-unavailable", aError.Message());
}

/// @param aMaybeWritten whether an earlier write of the same edit may have taken effect.
AdminResponse WriteError(const base::Error& aError, bool aMaybeWritten)
{
  return aMaybeWritten ? AdminApi::Error(504, "unknown", "ask for the status of the edit by its id")
                       : StoreError(aError);
}

} // namespace

AdminServer::AdminServer(const VmContext& aContext,
                         platform::Store& aStore,
                         ConfigState& aConfig,
                         Hooks aHooks)
  : m_context(aContext)
  , m_store(aStore)
  , m_config(aConfig)
  , m_hooks(std::move(aHooks))
{
}

base::Result<std::unique_ptr<AdminServer>> AdminServer::Make(const VmContext& aContext,
                                                             platform::Store& aStore,
                                                             ConfigState& aConfig,
                                                             Hooks aHooks)
{
  std::unique_ptr<AdminServer> admin(new AdminServer(aContext, aStore, aConfig, std::move(aHooks)));
  base::HttpServer::Options options;
  options.m_bind = ToAddress(aContext.m_settings.m_adminAddress);
  options.m_threads = aContext.m_settings.m_adminThreads;
  auto server =
    base::HttpServer::Make(options, [self = admin.get()](const base::HttpRequest& aRequest) {
      return self->Handle(aRequest);
    });
  if (!server) {
    return server.GetError();
  }
  admin->m_server = std::move(*server);
  return admin;
}

base::HttpResponse AdminServer::Handle(const base::HttpRequest& aRequest)
{
  const bool writes = aRequest.m_method != "GET" && aRequest.m_path != "/v1/plan";
  const auto role = writes ? settings::AdminRole::Write : settings::AdminRole::Read;
  const auto principal =
    AdminApi::Authorize(m_context.m_settings.m_adminTokens, aRequest.Header("authorization"), role);
  const AdminResponse response =
    principal ? Route(aRequest, *principal) : AdminApi::Error(principal.GetError());
  base::HttpResponse httpResponse;
  httpResponse.m_status = static_cast<unsigned>(response.m_status);
  httpResponse.m_body = base::WriteJson(response.m_body);
  httpResponse.m_headers["Content-Type"] = "application/json";
  return httpResponse;
}

AdminResponse AdminServer::Route(const base::HttpRequest& aRequest, const std::string& aPrincipal)
{
  if (aRequest.m_method == "GET") {
    return Read(aRequest);
  }
  if (aRequest.m_method == "POST") {
    return Write(aRequest, aPrincipal);
  }
  return AdminApi::Error(405, "method-not-allowed", "use GET or POST");
}

AdminResponse AdminServer::Read(const base::HttpRequest& aRequest)
{
  if (aRequest.m_path == "/v1/status") {
    return { 200, m_hooks.m_status() };
  }
  if (aRequest.m_path == "/v1/metrics") {
    return { 200, m_hooks.m_metrics() };
  }
  if (aRequest.m_path == "/v1/timeline") {
    return Timeline(aRequest);
  }
  if (aRequest.m_path.starts_with(kEditsPrefix)) {
    return EditStatus(aRequest);
  }
  return ReadSettings(aRequest);
}

AdminResponse AdminServer::ReadSettings(const base::HttpRequest& aRequest) const
{
  const std::string& path = aRequest.m_path;
  if (path != "/v1/settings" && path != "/v1/settings/effective" && path != "/v1/history") {
    return NoSuchPath();
  }
  const auto config = m_config.Current();
  if (!config) {
    return AdminApi::Error(503, "no-settings", "this VM has not received any settings yet");
  }
  if (path == "/v1/settings") {
    return AdminApi::Settings(config->m_document);
  }
  if (path == "/v1/history") {
    return AdminApi::History(config->m_document);
  }
  return AdminApi::Effective(config->m_document, aRequest.Query("path"));
}

AdminResponse AdminServer::Timeline(const base::HttpRequest& aRequest) const
{
  Json::Value body(Json::objectValue);
  body["vm"] = m_context.m_settings.m_id;
  body["events"] = Json::arrayValue;
  std::uint64_t last = ToNumber(aRequest.Query("after"));
  for (const base::Event& event : m_context.m_events.After(last)) {
    if (body["events"].size() == kMaxEvents) {
      break;
    }
    body["events"].append(event.ToJson());
    last = event.m_sequence;
  }
  body["last"] = Json::UInt64(last);
  return { 200, std::move(body) };
}

AdminResponse AdminServer::Write(const base::HttpRequest& aRequest, const std::string& aPrincipal)
{
  if (aRequest.m_path == "/v1/drain" || aRequest.m_path == "/v1/undrain") {
    const bool remove = aRequest.m_path == "/v1/undrain";
    const auto edit = AdminApi::ParseDrain(aRequest.m_body, remove);
    return edit ? ApplyEdit(*edit, aPrincipal) : AdminApi::Error(edit.GetError());
  }
  if (aRequest.m_path != "/v1/edits" && aRequest.m_path != "/v1/plan") {
    return NoSuchPath();
  }
  const auto edit = AdminApi::ParseEdit(aRequest.m_body);
  if (!edit) {
    return AdminApi::Error(edit.GetError());
  }
  return aRequest.m_path == "/v1/edits" ? ApplyEdit(*edit, aPrincipal) : Plan(*edit);
}

AdminResponse AdminServer::Plan(const settings::Edit& aEdit) const
{
  const auto config = m_config.Current();
  const settings::SettingsDocument empty;
  const settings::SettingsDocument& document = config ? config->m_document : empty;
  AdminResponse response = AdminApi::Plan(document, aEdit);
  const auto merged = settings::EditMerger::Merge(document, aEdit, {});
  if (merged.m_outcome == settings::MergeOutcome::Accepted) {
    response.m_body["forecast"] = m_hooks.m_forecast(*merged.m_document);
  }
  return response;
}

base::Result<std::pair<settings::SettingsDocument, platform::Version>> AdminServer::ReadDocument()
{
  const auto object = m_store.Get(kSettingsKey, kCallTimeout);
  if (!object) {
    if (object.GetError().m_code == platform::PlatformErrc::NotFound) {
      return std::pair{ settings::SettingsDocument(), platform::kAbsent };
    }
    return object.GetError();
  }
  auto document = settings::SettingsDocument::Parse(object->m_value);
  if (!document) {
    return document.GetError();
  }
  return std::pair{ std::move(*document), object->m_version };
}

void AdminServer::ApplyAccepted(const settings::MergeResult& aMerged,
                                const std::string& aText,
                                const std::string& aId)
{
  m_config.Apply(aText);
  Json::Value fields;
  fields["edit"] = aId;
  fields["generation"] = Json::UInt64(aMerged.m_generation);
  m_context.m_events.Record("edit-accepted", fields);
}

AdminResponse AdminServer::ApplyEdit(const settings::Edit& aEdit, const std::string& aPrincipal)
{
  // Whether a write without a response may have taken effect, and the version it was based on.
  bool uncertain = false;
  platform::Version expected = platform::kAbsent;
  base::Error error = platform::MakeError(platform::PlatformErrc::Conflict, "too many writers");
  for (unsigned i = 0; i < kMaxWriteAttempts; ++i) {
    const auto loaded = ReadDocument();
    if (!loaded) {
      return WriteError(loaded.GetError(), uncertain);
    }
    const settings::EditContext context{ aPrincipal,
                                         m_context.m_clock.Wall(),
                                         m_context.m_incarnationText,
                                         std::to_string(m_nextNonce++) };
    const auto merged = settings::EditMerger::Merge(loaded->first, aEdit, context);
    if (merged.m_outcome != settings::MergeOutcome::Accepted) {
      return AdminApi::MergeResponse(merged, aEdit);
    }
    // If the document has changed and lacks the edit, that write can no longer take effect.
    uncertain = uncertain && expected == loaded->second;
    expected = loaded->second;
    const std::string text = merged.m_document->Serialize();
    const auto version = m_store.Put(kSettingsKey, text, expected, kCallTimeout);
    if (version) {
      ApplyAccepted(merged, text, aEdit.m_id);
      return AdminApi::MergeResponse(merged, aEdit);
    }
    error = version.GetError();
    if (error.m_code == platform::PlatformErrc::Timeout) {
      uncertain = true;
    } else if (error.m_code != platform::PlatformErrc::Conflict) {
      return WriteError(error, uncertain);
    }
    // After a conflict or a lost response the document is read again: the edit is either found in
    // its history or merged again.
  }
  return WriteError(error, uncertain);
}

AdminResponse AdminServer::EditStatus(const base::HttpRequest& aRequest)
{
  const auto loaded = ReadDocument();
  if (!loaded) {
    return StoreError(loaded.GetError());
  }
  return AdminApi::EditStatusOf(loaded->first,
                                aRequest.m_path.substr(kEditsPrefix.size()),
                                ToNumber(aRequest.Query("base_generation")));
}

} // namespace jaylane::entry
