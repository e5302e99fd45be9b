#include "jaylane/testing/PlatformStandIn.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/TestingError.h"

#include <algorithm>
#include <charconv>

namespace jaylane::testing {

using platform::PlatformErrc;
using platform::StoreCall;
using platform::Version;
using platform::WriteJson;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kNoTimeout{ 0 };
constexpr std::uint64_t kMaxWatchMillis = 60'000;
const std::string kObjectsPath = "/v1/objects/";

HttpResponse ErrorResponse(const base::Error& aError)
{
  HttpResponse response = JsonResponse(500, "{}");
  if (aError.m_code == PlatformErrc::NotFound) {
    response.m_status = 404;
  } else if (aError.m_code == PlatformErrc::TooLarge) {
    response.m_status = 413;
  } else if (aError.m_code == PlatformErrc::Unavailable) {
    response.m_status = 503;
  } else if (aError.m_code == PlatformErrc::Timeout) {
    response.m_close = true;
  } else if (aError.m_code == PlatformErrc::Conflict) {
    Json::Value body;
    Version current = 0;
    std::from_chars(
      aError.m_detail.data(), aError.m_detail.data() + aError.m_detail.size(), current);
    body["version"] = Json::UInt64{ current };
    response = JsonResponse(409, WriteJson(body));
  }
  return response;
}

Json::Value ObjectJson(const platform::StoreObject& aObject)
{
  Json::Value json;
  json["key"] = aObject.m_key;
  json["version"] = Json::UInt64{ aObject.m_version };
  json["value"] = aObject.m_value;
  return json;
}

std::string QueryArgument(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? std::string() : found->second;
}

/// @param aPath path of a request; the prefix "/as/<view>" is removed.
/// @return the view, or an empty string without the prefix.
std::string ExtractView(std::string& aPath)
{
  const std::string prefix = "/as/";
  const auto slash = aPath.find('/', prefix.size());
  if (aPath.compare(0, prefix.size(), prefix) != 0 || slash == std::string::npos) {
    return {};
  }
  std::string view = aPath.substr(prefix.size(), slash - prefix.size());
  aPath.erase(0, slash);
  return view;
}

} // namespace

base::Result<std::unique_ptr<PlatformStandIn>> PlatformStandIn::Make(
  const HttpServerOptions& aOptions)
{
  std::unique_ptr<PlatformStandIn> standIn(new PlatformStandIn());
  auto* self = standIn.get();
  auto server = HttpServer::Make(
    aOptions,
    { nullptr, [self](HttpRequest& aRequest) { return self->Handle(aRequest); }, nullptr });
  if (!server) {
    return server.GetError();
  }
  standIn->m_server = std::move(*server);
  return standIn;
}

PlatformStandIn::~PlatformStandIn()
{
  // An outage ends pending watches, so that the threads of the server can be joined.
  m_store.SetOutage(true);
}

void PlatformStandIn::SetVms(platform::VmList aVms, const std::string& aView)
{
  std::lock_guard lock(m_mutex);
  m_vmViews[aView].m_pending.push_back({ std::chrono::steady_clock::now(), std::move(aVms) });
}

HttpResponse PlatformStandIn::Handle(HttpRequest& aRequest)
{
  if (aRequest.m_path == "/control/stats") {
    return Stats();
  }
  if (aRequest.m_path.compare(0, 8, "/control") == 0) {
    return HandleControl(aRequest);
  }
  if (const milliseconds delay{ m_delayMillis.load() }; delay > kNoTimeout) {
    aRequest.ClosedWithin(delay);
  }
  const std::string view = ExtractView(aRequest.m_path);
  if (aRequest.m_path.compare(0, kObjectsPath.size(), kObjectsPath) == 0) {
    return HandleObject(aRequest, aRequest.m_path.substr(kObjectsPath.size()));
  }
  if (aRequest.m_path == "/v1/list") {
    return HandleList(aRequest);
  }
  if (aRequest.m_path == "/v1/watch") {
    return HandleWatch(aRequest);
  }
  if (aRequest.m_path == "/v1/vms") {
    return HandleVms(view);
  }
  return JsonResponse(404, "{}");
}

HttpResponse PlatformStandIn::HandleControl(const HttpRequest& aRequest)
{
  const auto json = platform::ParseJsonObject(aRequest.m_body);
  if (aRequest.m_method != "POST" || !json) {
    return JsonResponse(400, "{}");
  }
  if (aRequest.m_path == "/control/vms") {
    auto vms = platform::VmList::Parse(*json);
    if (!vms) {
      return JsonResponse(400, "{}");
    }
    SetVms(std::move(*vms), QueryArgument(aRequest, "view"));
    return JsonResponse(200, "{}");
  }
  if ((*json)["outage"].isBool()) {
    m_store.SetOutage((*json)["outage"].asBool());
  }
  if ((*json)["lose_responses"].isUInt()) {
    m_store.LoseResponses((*json)["lose_responses"].asUInt());
  }
  if ((*json)["slow_ms"].isUInt()) {
    m_delayMillis = (*json)["slow_ms"].asUInt();
  }
  if ((*json)["vm_list_lag_ms"].isUInt()) {
    m_vmListLagMillis = (*json)["vm_list_lag_ms"].asUInt();
  }
  return JsonResponse(200, "{}");
}

HttpResponse PlatformStandIn::HandleObject(const HttpRequest& aRequest, const std::string& aKey)
{
  if (aRequest.m_method == "GET") {
    const auto object = m_store.Get(aKey, kNoTimeout);
    return object ? JsonResponse(200, WriteJson(ObjectJson(*object)))
                  : ErrorResponse(object.GetError());
  }
  if (aRequest.m_query.count("if_version") == 0) {
    return JsonResponse(400, "{}");
  }
  const Version expected = aRequest.QueryNumber("if_version", 0);
  if (aRequest.m_method == "PUT") {
    const auto version = m_store.Put(aKey, aRequest.m_body, expected, kNoTimeout);
    if (!version) {
      return ErrorResponse(version.GetError());
    }
    Json::Value body;
    body["version"] = Json::UInt64{ *version };
    return JsonResponse(200, WriteJson(body));
  }
  if (aRequest.m_method == "DELETE") {
    const auto status = m_store.Delete(aKey, expected, kNoTimeout);
    return status ? JsonResponse(200, "{}") : ErrorResponse(status.GetError());
  }
  return JsonResponse(405, "{}");
}

HttpResponse PlatformStandIn::HandleList(const HttpRequest& aRequest)
{
  const auto listing = m_store.List(QueryArgument(aRequest, "prefix"), kNoTimeout);
  if (!listing) {
    return ErrorResponse(listing.GetError());
  }
  Json::Value body;
  body["revision"] = Json::UInt64{ listing->m_revision };
  body["objects"] = Json::arrayValue;
  for (const auto& object : listing->m_objects) {
    Json::Value item;
    item["key"] = object.m_key;
    item["version"] = Json::UInt64{ object.m_version };
    body["objects"].append(std::move(item));
  }
  return JsonResponse(200, WriteJson(body));
}

HttpResponse PlatformStandIn::HandleWatch(const HttpRequest& aRequest)
{
  const milliseconds wait{ std::min(aRequest.QueryNumber("wait_ms", 0), kMaxWatchMillis) };
  const auto batch = m_store.Watch(
    QueryArgument(aRequest, "prefix"), aRequest.QueryNumber("after", 0), wait, kNoTimeout);
  if (!batch) {
    return ErrorResponse(batch.GetError());
  }
  Json::Value body;
  body["revision"] = Json::UInt64{ batch->m_revision };
  body["objects"] = Json::arrayValue;
  for (const auto& change : batch->m_changes) {
    Json::Value item = ObjectJson(change.m_object);
    item["deleted"] = change.m_deleted;
    body["objects"].append(std::move(item));
  }
  return JsonResponse(200, WriteJson(body));
}

HttpResponse PlatformStandIn::HandleVms(const std::string& aView)
{
  // The store only counts the call and injects its faults; the lists are kept in m_vmViews.
  if (const auto fault = m_store.ListVms(kNoTimeout); !fault) {
    return ErrorResponse(fault.GetError());
  }
  std::lock_guard lock(m_mutex);
  const auto visibleUntil =
    std::chrono::steady_clock::now() - milliseconds{ m_vmListLagMillis.load() };
  VmView& view = m_vmViews[m_vmViews.count(aView) > 0 ? aView : ""];
  while (!view.m_pending.empty() && view.m_pending.front().m_time <= visibleUntil) {
    view.m_shown = std::move(view.m_pending.front().m_vms);
    view.m_pending.pop_front();
  }
  return JsonResponse(200, WriteJson(view.m_shown.ToJson()));
}

HttpResponse PlatformStandIn::Stats() const
{
  Json::Value body;
  body["get"] = Json::UInt64{ m_store.Calls(StoreCall::Get) };
  body["put"] = Json::UInt64{ m_store.Calls(StoreCall::Put) };
  body["delete"] = Json::UInt64{ m_store.Calls(StoreCall::Delete) };
  body["list"] = Json::UInt64{ m_store.Calls(StoreCall::List) };
  body["watch"] = Json::UInt64{ m_store.Calls(StoreCall::Watch) };
  body["vms"] = Json::UInt64{ m_store.Calls(StoreCall::ListVms) };
  return JsonResponse(200, WriteJson(body));
}

} // namespace jaylane::testing
