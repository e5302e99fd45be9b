#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/HttpServer.h"
#include "jaylane/testing/LinkRelay.h"
#include "jaylane/testing/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>
#include <mutex>

ABSL_FLAG(std::string, bind, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint32_t, control_port, 0, "port of the control API; 0 lets the kernel choose");
ABSL_FLAG(std::vector<std::string>, targets, {}, "targets of the initial routes, host:port");

namespace {

using namespace jaylane;
using testing::HttpRequest;
using testing::HttpResponse;
using testing::JsonResponse;
using testing::LinkConditions;
using testing::LinkRelay;

HttpResponse AddRoute(LinkRelay& aRelay, const Json::Value& aJson)
{
  const auto address = aRelay.AddRoute(aJson["target"].asString());
  if (!address) {
    return JsonResponse(400, "{}");
  }
  Json::Value body;
  body["address"] = *address;
  return JsonResponse(200, platform::WriteJson(body));
}

HttpResponse SetConditions(LinkRelay& aRelay, const Json::Value& aJson)
{
  // Makes the read-modify-write atomic, so that concurrent requests do not lose updates.
  static std::mutex sMutex;
  std::lock_guard lock(sMutex);
  LinkConditions conditions = aRelay.Conditions();
  if (aJson["cut"].isBool()) {
    conditions.m_cut = aJson["cut"].asBool();
  }
  if (aJson["delay_ms"].isUInt()) {
    conditions.m_delay = std::chrono::milliseconds{ aJson["delay_ms"].asUInt() };
  }
  if (aJson["bytes_per_second"].isUInt64()) {
    conditions.m_bytesPerSecond = aJson["bytes_per_second"].asUInt64();
  }
  aRelay.SetConditions(conditions);
  if (aJson["reset"].isBool() && aJson["reset"].asBool()) {
    aRelay.ResetConnections();
  }
  return JsonResponse(200, "{}");
}

HttpResponse Handle(LinkRelay& aRelay, const HttpRequest& aRequest)
{
  if (aRequest.m_path == "/control/stats") {
    const testing::LinkStats stats = aRelay.Stats();
    Json::Value body;
    body["accepted"] = Json::UInt64{ stats.m_accepted };
    body["bytes"] = Json::UInt64{ stats.m_bytes };
    return JsonResponse(200, platform::WriteJson(body));
  }
  const auto json = platform::ParseJsonObject(aRequest.m_body);
  if (aRequest.m_method != "POST" || !json) {
    return JsonResponse(400, "{}");
  }
  if (aRequest.m_path == "/control/routes") {
    return AddRoute(aRelay, *json);
  }
  return aRequest.m_path == "/control" ? SetConditions(aRelay, *json) : JsonResponse(404, "{}");
}

int Fail(const base::Error& aError)
{
  fmt::print(stderr, "{}\n", aError.Message());
  return 1;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  testing::BlockTerminationSignals();
  const auto relay = LinkRelay::Make(absl::GetFlag(FLAGS_bind));
  if (!relay) {
    return Fail(relay.GetError());
  }
  Json::Value line;
  line["addresses"] = Json::arrayValue;
  for (const std::string& target : absl::GetFlag(FLAGS_targets)) {
    const auto address = (*relay)->AddRoute(target);
    if (!address) {
      return Fail(address.GetError());
    }
    line["addresses"].append(*address);
  }
  testing::HttpServerOptions options;
  options.m_bindAddress = absl::GetFlag(FLAGS_bind);
  options.m_port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_control_port));
  LinkRelay& target = **relay;
  const auto server = testing::HttpServer::Make(
    options,
    { nullptr, [&target](HttpRequest& aRequest) { return Handle(target, aRequest); }, nullptr });
  if (!server) {
    return Fail(server.GetError());
  }
  line["control_address"] = (*server)->Address();
  testing::PrintLine(line);
  testing::WaitForTermination();
  return 0;
}
