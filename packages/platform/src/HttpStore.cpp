#include "jaylane/platform/HttpStore.h"

#include "jaylane/platform/JsonText.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <cctype>
#include <curl/curl.h>
#include <fmt/format.h>
#include <mutex>
#include <optional>

namespace jaylane::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

struct HandleDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
using Handle = std::unique_ptr<CURL, HandleDeleter>;

struct HeaderDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

/// A watch response may hold many values of up to 1 MiB, and JSON escaping enlarges them.
constexpr std::size_t kMaxResponseBytes = 256 * kMaxValueBytes;

std::size_t AppendToBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  std::string& body = *static_cast<std::string*>(aBody);
  const std::size_t bytes = aSize * aCount;
  if (body.size() + bytes > kMaxResponseBytes) {
    return 0;
  }
  body.append(aData, bytes);
  return bytes;
}

/// Percent-encodes all characters except the unreserved ones of RFC 3986 and the slash.
std::string Escape(const std::string& aText)
{
  std::string out;
  for (const unsigned char c : aText) {
    if (std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~' || c == '/') {
      out += static_cast<char>(c);
    } else {
      out += fmt::format("%{:02X}", c);
    }
  }
  return out;
}

struct Call
{
  const char* m_method = "GET";
  std::string m_path;
  const std::string* m_body = nullptr;
  milliseconds m_timeout{ 0 };

  bool IsWrite() const { return m_method[0] != 'G'; }
};

struct Response
{
  long m_status = 0;
  std::string m_body;
};

base::Error StatusError(const Call& aCall, const Response& aResponse)
{
  const std::string detail =
    fmt::format("{} {}: {}", aCall.m_method, aCall.m_path, aResponse.m_status);
  switch (aResponse.m_status) {
    case 404:
      return MakeError(PlatformErrc::NotFound, detail);
    case 409:
      return MakeError(PlatformErrc::Conflict, detail);
    case 413:
      return MakeError(PlatformErrc::TooLarge, detail);
    case 503:
      return MakeError(PlatformErrc::Unavailable, detail);
    default:
      break;
  }
  if (aResponse.m_status >= 400 && aResponse.m_status < 500) {
    return MakeError(PlatformErrc::Malformed, detail);
  }
  // Of the 5xx statuses only 503 guarantees that a write had no effect.
  return MakeError(aCall.IsWrite() ? PlatformErrc::Timeout : PlatformErrc::Unavailable, detail);
}

std::optional<Version> ReadVersion(const Json::Value& aJson, const char* aName)
{
  const Json::Value& field = aJson[aName];
  return field.isUInt64() ? std::optional<Version>(field.asUInt64()) : std::nullopt;
}

std::optional<StoreObject> ReadObject(const Json::Value& aJson)
{
  if (!aJson.isObject() || !aJson["key"].isString()) {
    return std::nullopt;
  }
  const std::optional<Version> version = ReadVersion(aJson, "version");
  if (!version) {
    return std::nullopt;
  }
  const Json::Value& value = aJson["value"];
  return StoreObject{ aJson["key"].asString(),
                      *version,
                      value.isString() ? value.asString() : std::string() };
}

base::Error MalformedResponseError(const char* aWhat)
{
  return MakeError(PlatformErrc::Malformed, fmt::format("unexpected response to {}", aWhat));
}

} // namespace

class HttpStore::Client
{
public:
  explicit Client(std::vector<std::string> aEndpoints)
    : m_endpoints(std::move(aEndpoints))
  {
    assert(!m_endpoints.empty());
    static std::once_flag sOnce;
    std::call_once(sOnce, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  }

  /// Tries the endpoints in turn, starting with the one that last responded.
  base::Result<Json::Value> Send(const Call& aCall)
  {
    const auto deadline = steady_clock::now() + aCall.m_timeout;
    Handle handle = TakeHandle();
    const std::size_t first = m_preferred.load();
    base::Error error = MakeError(PlatformErrc::Unavailable, "no endpoint reached");
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
      const std::size_t index = (first + i) % m_endpoints.size();
      const auto remaining =
        std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
      if (remaining <= milliseconds{ 0 }) {
        break;
      }
      const milliseconds connectTimeout =
        std::max(remaining / static_cast<int>(m_endpoints.size() - i), milliseconds{ 1 });
      Response response;
      const CURLcode code =
        Perform(handle.get(), aCall, m_endpoints[index], remaining, connectTimeout, response);
      if (code == CURLE_OK) {
        m_preferred = index;
        ReturnHandle(std::move(handle));
        return Interpret(aCall, response);
      }
      // The next call starts elsewhere: this endpoint may accept connections but not respond.
      m_preferred = (index + 1) % m_endpoints.size();
      long sent = 0;
      curl_easy_getinfo(handle.get(), CURLINFO_REQUEST_SIZE, &sent);
      error =
        MakeError(sent > 0 ? PlatformErrc::Timeout : PlatformErrc::Unavailable,
                  fmt::format("{} {}: {}", aCall.m_method, aCall.m_path, curl_easy_strerror(code)));
      if (sent > 0) {
        break;
      }
    }
    return error;
  }

private:
  static CURLcode Perform(CURL* aHandle,
                          const Call& aCall,
                          const std::string& aEndpoint,
                          milliseconds aTimeout,
                          milliseconds aConnectTimeout,
                          Response& aResponse)
  {
    curl_easy_reset(aHandle);
    const std::unique_ptr<curl_slist, HeaderDeleter> headers(curl_slist_append(
      curl_slist_append(nullptr, "Expect:"), "Content-Type: application/octet-stream"));
    const std::string url = aEndpoint + aCall.m_path;
    curl_easy_setopt(aHandle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(aHandle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(aHandle, CURLOPT_PROXY, "");
    curl_easy_setopt(aHandle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(aHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
    curl_easy_setopt(
      aHandle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(aConnectTimeout.count()));
    curl_easy_setopt(aHandle, CURLOPT_WRITEFUNCTION, &AppendToBody);
    curl_easy_setopt(aHandle, CURLOPT_WRITEDATA, &aResponse.m_body);
    if (aCall.IsWrite()) {
      curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, aCall.m_method);
      curl_easy_setopt(aHandle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(aHandle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (aCall.m_body) {
      curl_easy_setopt(aHandle, CURLOPT_POSTFIELDS, aCall.m_body->data());
      curl_easy_setopt(
        aHandle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aCall.m_body->size()));
    }
    const CURLcode code = curl_easy_perform(aHandle);
    curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &aResponse.m_status);
    curl_easy_setopt(aHandle, CURLOPT_HTTPHEADER, nullptr);
    return code;
  }

  static base::Result<Json::Value> Interpret(const Call& aCall, const Response& aResponse)
  {
    if (aResponse.m_status != 200) {
      return StatusError(aCall, aResponse);
    }
    std::optional<Json::Value> json = ParseJsonObject(aResponse.m_body);
    if (!json) {
      // The write took effect, but its version is unknown. Timeout makes the caller read it back.
      return aCall.IsWrite() ? MakeError(PlatformErrc::Timeout, "unreadable response to a write")
                             : MalformedResponseError(aCall.m_method);
    }
    return std::move(*json);
  }

  Handle TakeHandle()
  {
    {
      std::lock_guard lock(m_mutex);
      if (!m_idle.empty()) {
        Handle handle = std::move(m_idle.back());
        m_idle.pop_back();
        return handle;
      }
    }
    return Handle(curl_easy_init());
  }

  void ReturnHandle(Handle aHandle)
  {
    constexpr std::size_t kMaxIdleHandles = 8;
    std::lock_guard lock(m_mutex);
    if (m_idle.size() < kMaxIdleHandles) {
      m_idle.push_back(std::move(aHandle));
    }
  }

  const std::vector<std::string> m_endpoints;
  std::atomic<std::size_t> m_preferred{ 0 };
  std::mutex m_mutex;
  std::vector<Handle> m_idle;
};

HttpStore::HttpStore(std::vector<std::string> aEndpoints)
  : m_client(std::make_unique<Client>(std::move(aEndpoints)))
{
}

HttpStore::~HttpStore() = default;

base::Result<StoreObject> HttpStore::Get(const std::string& aKey, milliseconds aTimeout)
{
  const auto json = m_client->Send({ "GET", "/v1/objects/" + Escape(aKey), nullptr, aTimeout });
  if (!json) {
    return json.GetError();
  }
  std::optional<StoreObject> object = ReadObject(*json);
  if (!object || object->m_key != aKey) {
    return MalformedResponseError("get");
  }
  return std::move(*object);
}

base::Result<Version> HttpStore::Put(const std::string& aKey,
                                     const std::string& aValue,
                                     Version aExpected,
                                     milliseconds aTimeout)
{
  if (aValue.size() > kMaxValueBytes) {
    return MakeError(PlatformErrc::TooLarge, aKey);
  }
  const auto json =
    m_client->Send({ "PUT",
                     fmt::format("/v1/objects/{}?if_version={}", Escape(aKey), aExpected),
                     &aValue,
                     aTimeout });
  if (!json) {
    return json.GetError();
  }
  const std::optional<Version> version = ReadVersion(*json, "version");
  if (!version) {
    return MakeError(PlatformErrc::Timeout, "unreadable response to a write");
  }
  return *version;
}

base::Status HttpStore::Delete(const std::string& aKey, Version aExpected, milliseconds aTimeout)
{
  const auto json =
    m_client->Send({ "DELETE",
                     fmt::format("/v1/objects/{}?if_version={}", Escape(aKey), aExpected),
                     nullptr,
                     aTimeout });
  if (!json) {
    return json.GetError();
  }
  return base::Success{};
}

base::Result<ObjectListing> HttpStore::List(const std::string& aPrefix, milliseconds aTimeout)
{
  const auto json =
    m_client->Send({ "GET", "/v1/list?prefix=" + Escape(aPrefix), nullptr, aTimeout });
  if (!json) {
    return json.GetError();
  }
  const std::optional<Version> revision = ReadVersion(*json, "revision");
  if (!revision || !(*json)["objects"].isArray()) {
    return MalformedResponseError("list");
  }
  ObjectListing listing{ *revision, {} };
  for (const Json::Value& item : (*json)["objects"]) {
    std::optional<StoreObject> object = ReadObject(item);
    if (!object) {
      return MalformedResponseError("list");
    }
    listing.m_objects.push_back({ std::move(object->m_key), object->m_version });
  }
  return listing;
}

base::Result<ChangeBatch> HttpStore::Watch(const std::string& aPrefix,
                                           Version aAfter,
                                           milliseconds aWait,
                                           milliseconds aTimeout)
{
  const auto json = m_client->Send(
    { "GET",
      fmt::format(
        "/v1/watch?prefix={}&after={}&wait_ms={}", Escape(aPrefix), aAfter, aWait.count()),
      nullptr,
      aWait + aTimeout });
  if (!json) {
    return json.GetError();
  }
  const std::optional<Version> revision = ReadVersion(*json, "revision");
  if (!revision || !(*json)["objects"].isArray()) {
    return MalformedResponseError("watch");
  }
  ChangeBatch batch{ *revision, {} };
  for (const Json::Value& item : (*json)["objects"]) {
    std::optional<StoreObject> object = ReadObject(item);
    if (!object) {
      return MalformedResponseError("watch");
    }
    const Json::Value& deleted = item["deleted"];
    batch.m_changes.push_back({ std::move(*object), deleted.isBool() && deleted.asBool() });
  }
  return batch;
}

base::Result<VmList> HttpStore::ListVms(milliseconds aTimeout)
{
  const auto json = m_client->Send({ "GET", "/v1/vms", nullptr, aTimeout });
  if (!json) {
    return json.GetError();
  }
  return VmList::Parse(*json);
}

} // namespace jaylane::platform
