#include "VmKeys.h"

#include <algorithm>

namespace jaylane::settings {

namespace {

/// A shorter secret could be guessed over the network.
constexpr std::size_t kMinSecretChars = 16;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxEventLogCapacity = 100'000;

using Vm = VmSettings;

ValueSpec Address()
{
  return Text("\"address:port\" with an IP address, port 0 for any free one",
              [](const std::string& aText) { return HostPort::Parse(aText).has_value(); });
}

ValueSpec Url()
{
  return Text("an http or https URL", [](const std::string& aText) {
    const bool scheme = aText.starts_with("http://") || aText.starts_with("https://");
    return scheme && aText.size() > aText.find("://") + 3 &&
           aText.find_first_of(" \t\r\n") == std::string::npos;
  });
}

ValueSpec SecretText()
{
  return Secret("at least 16 visible characters", [](const std::string& aText) {
    return aText.size() >= kMinSecretChars &&
           std::all_of(
             aText.begin(), aText.end(), [](char aChar) { return aChar > ' ' && aChar <= '~'; });
  });
}

ValueSpec OneOf(std::vector<std::string> aWords)
{
  std::string expected = "one of";
  for (const std::string& word : aWords) {
    expected += (word == aWords.front() ? " " : ", ") + word;
  }
  return Text(expected, [words = std::move(aWords)](const std::string& aText) {
    return std::find(words.begin(), words.end(), aText) != words.end();
  });
}

ValueSpec AdminTokens()
{
  const std::string expected = "a list of mappings with name, token and role";
  auto check = [expected](const Json::Value& aValue, const JsonPath& aPath, Reporter& aReporter) {
    if (!aValue.isArray()) {
      aReporter.Error(aPath, "expected " + expected);
      return;
    }
    for (Json::ArrayIndex i = 0; i < aValue.size(); ++i) {
      AdminToken token;
      ReadMapping(
        aValue[i], ChildPath(aPath, std::to_string(i)), AdminTokenKeys(), token, aReporter);
    }
  };
  return { expected, check };
}

void AssignAdminTokens(Vm& aVm, const Json::Value& aValue)
{
  Reporter unused;
  for (const Json::Value& element : aValue) {
    ReadMapping(element, {}, AdminTokenKeys(), aVm.m_adminTokens.emplace_back(), unused);
  }
}

KeySpec<Vm> TextKey(const char* aName, ValueSpec aSpec, std::string Vm::*aMember, const char* aDoc)
{
  return { aName,
           std::move(aSpec),
           Json::nullValue,
           aDoc,
           [aMember](Vm& aVm, const Json::Value& aValue) { aVm.*aMember = aValue.asString(); },
           {} };
}

KeySpec<Vm> AddressKey(const char* aName, HostPort Vm::*aMember, const char* aDoc)
{
  return { aName,
           Address(),
           Json::nullValue,
           aDoc,
           [aMember](Vm& aVm, const Json::Value& aValue) {
             aVm.*aMember = *HostPort::Parse(aValue.asString());
           },
           {} };
}

KeySpec<Vm> CountKey(const char* aName,
                     std::int64_t aMin,
                     std::int64_t aMax,
                     std::int64_t aDefault,
                     std::uint32_t Vm::*aMember,
                     const char* aDoc)
{
  return { aName,
           Integer(aMin, aMax),
           Json::Int64(aDefault),
           aDoc,
           [aMember](Vm& aVm, const Json::Value& aValue) { aVm.*aMember = aValue.asUInt(); },
           {} };
}

base::LogLevel ParseLogLevel(const std::string& aName)
{
  if (aName == "debug") {
    return base::LogLevel::Debug;
  }
  if (aName == "info") {
    return base::LogLevel::Info;
  }
  return aName == "warning" ? base::LogLevel::Warning : base::LogLevel::Error;
}

void AssignStoreUrls(Vm& aVm, const Json::Value& aValue)
{
  for (const Json::Value& url : aValue) {
    aVm.m_storeUrls.push_back(url.asString());
  }
}

std::vector<KeySpec<Vm>> MakeVmKeys()
{
  return {
    TextKey("id", Identifier(), &Vm::m_id, "Id of the VM, as in the platform's VM list."),
    TextKey("region", Identifier(), &Vm::m_region, "Region of the VM."),
    TextKey("zone", Identifier(), &Vm::m_zone, "Availability zone of the VM."),
    AddressKey("caller_address", &Vm::m_callerAddress, "Listener for callers."),
    AddressKey("peer_address", &Vm::m_peerAddress, "Listener for other entry VMs."),
    AddressKey("admin_address", &Vm::m_adminAddress, "Listener for the administration API."),
    { "store_urls",
      ListOf(Url(), 1),
      Json::nullValue,
      "Base URLs of the platform's object API, tried in order.",
      AssignStoreUrls,
      {} },
    TextKey("peer_key", SecretText(), &Vm::m_peerKey, "Key shared by all entry VMs."),
    { "admin_tokens",
      AdminTokens(),
      Json::arrayValue,
      "Tokens of the administration API; without any, every request is rejected.",
      AssignAdminTokens,
      {} },
    { "trust_caller_header",
      Boolean(),
      false,
      "Whether `Jaylane-Caller` overrides the address of the connection.",
      [](Vm& aVm, const Json::Value& aValue) { aVm.m_trustCallerHeader = aValue.asBool(); },
      {} },
    CountKey("caller_threads", 1, kMaxThreads, 2, &Vm::m_callerThreads, "Threads for callers."),
    CountKey("upstream_threads",
             1,
             kMaxThreads,
             2,
             &Vm::m_upstreamThreads,
             "Threads for transfers to upstreams."),
    CountKey("admin_threads",
             1,
             kMaxThreads,
             1,
             &Vm::m_adminThreads,
             "Threads for the administration API."),
    CountKey("event_log_capacity",
             100,
             kMaxEventLogCapacity,
             10'000,
             &Vm::m_eventLogCapacity,
             "Events kept for the time line; the oldest are dropped."),
    { "log_level",
      OneOf({ "debug", "info", "warning", "error" }),
      "info",
      "Records below this level are dropped.",
      [](Vm& aVm, const Json::Value& aValue) { aVm.m_logLevel = ParseLogLevel(aValue.asString()); },
      {} },
  };
}

} // namespace

const std::vector<KeySpec<VmSettings>>& VmKeys()
{
  static const std::vector<KeySpec<VmSettings>> sKeys = MakeVmKeys();
  return sKeys;
}

const std::vector<KeySpec<AdminToken>>& AdminTokenKeys()
{
  static const std::vector<KeySpec<AdminToken>> sKeys = {
    { "name",
      Identifier(),
      Json::nullValue,
      "Holder; recorded as the author of edits.",
      [](AdminToken& aToken, const Json::Value& aValue) { aToken.m_name = aValue.asString(); },
      {} },
    { "token",
      SecretText(),
      Json::nullValue,
      "Sent as `Authorization: Bearer <token>`.",
      [](AdminToken& aToken, const Json::Value& aValue) { aToken.m_token = aValue.asString(); },
      {} },
    { "role",
      OneOf({ "read", "write" }),
      Json::nullValue,
      "`write` includes `read`.",
      [](AdminToken& aToken, const Json::Value& aValue) {
        aToken.m_role = aValue.asString() == "write" ? AdminRole::Write : AdminRole::Read;
      },
      {} },
  };
  return sKeys;
}

} // namespace jaylane::settings
