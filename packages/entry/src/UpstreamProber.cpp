#include "UpstreamProber.h"

#include "jaylane/base/JsonText.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <memory>

namespace jaylane::entry {

namespace {

constexpr std::size_t kMaxBodyBytes = 4096;
constexpr int kPollMillis = 50;

struct EasyDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

/// One GET request and its response.
struct Query
{
  std::unique_ptr<CURL, EasyDeleter> m_handle;
  std::string m_body;
  bool m_ok = false;
};

size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aBody)
{
  auto* body = static_cast<std::string*>(aBody);
  if (body->size() + aSize * aCount > kMaxBodyBytes) {
    return 0;
  }
  body->append(aData, aSize * aCount);
  return aSize * aCount;
}

std::unique_ptr<Query> MakeQuery(const base::SocketAddress& aAddress,
                                 const std::string& aPath,
                                 std::chrono::milliseconds aTimeout)
{
  auto query = std::make_unique<Query>();
  query->m_handle.reset(curl_easy_init());
  CURL* const handle = query->m_handle.get();
  const std::string url = fmt::format("http://{}{}", aAddress.ToString(), aPath);
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &query->m_body);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, query.get());
  return query;
}

void RunAll(const std::vector<std::unique_ptr<Query>>& aQueries)
{
  CURLM* const multi = curl_multi_init();
  for (const auto& query : aQueries) {
    curl_multi_add_handle(multi, query->m_handle.get());
  }
  int running = 1;
  while (running > 0) {
    curl_multi_perform(multi, &running);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      Query* query = nullptr;
      long status = 0;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &query);
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
      query->m_ok = message->data.result == CURLE_OK && status == 200;
    }
    if (running > 0) {
      curl_multi_poll(multi, nullptr, 0, kPollMillis, nullptr);
    }
  }
  for (const auto& query : aQueries) {
    curl_multi_remove_handle(multi, query->m_handle.get());
  }
  curl_multi_cleanup(multi);
}

policy::ProbeResult ReadHealth(const Query& aQuery)
{
  const auto json = base::ParseJson(aQuery.m_body);
  if (!aQuery.m_ok || !json || !json->isObject()) {
    return policy::ProbeResult::Unreachable;
  }
  const std::string state = (*json)["state"].isString() ? (*json)["state"].asString() : "";
  if (state == "leaving") {
    return policy::ProbeResult::Leaving;
  }
  return state == "warming" ? policy::ProbeResult::Warming : policy::ProbeResult::Active;
}

std::optional<std::uint32_t> ReadLoad(const Query& aQuery)
{
  const auto json = base::ParseJson(aQuery.m_body);
  if (!aQuery.m_ok || !json || !json->isObject() || !(*json)["in_flight"].isUInt()) {
    return std::nullopt;
  }
  return (*json)["in_flight"].asUInt();
}

} // namespace

std::vector<ProbeReport> ProbeAll(const std::vector<ProbeTarget>& aTargets)
{
  std::vector<std::unique_ptr<Query>> queries;
  for (const ProbeTarget& target : aTargets) {
    const base::SocketAddress& address = target.m_upstream.m_address;
    queries.push_back(MakeQuery(address, target.m_healthPath, target.m_timeout));
    queries.push_back(MakeQuery(address, target.m_loadPath, target.m_timeout));
  }
  if (!queries.empty()) {
    RunAll(queries);
  }
  std::vector<ProbeReport> reports;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const UpstreamRef& upstream = aTargets[i].m_upstream;
    reports.push_back({ upstream.m_id,
                        upstream.m_incarnation,
                        ReadHealth(*queries[2 * i]),
                        ReadLoad(*queries[2 * i + 1]) });
  }
  return reports;
}

} // namespace jaylane::entry
