#include "LookupCache.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/HttpCall.h"

#include <algorithm>

namespace jaylane::testing {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kLookupTimeout{ 1000 };
constexpr milliseconds kRetryDelay{ 20 };

} // namespace

LookupCache::LookupCache(const CallerOptions& aOptions)
  : m_options(aOptions)
  , m_thread([this] { RefreshLoop(); })
{
}

LookupCache::~LookupCache()
{
  {
    std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_stopSignal.notify_one();
  m_thread.join();
}

std::optional<LookupResponse> LookupCache::Current() const
{
  std::lock_guard lock(m_mutex);
  if (!m_response || m_response->m_expires <= steady_clock::now()) {
    return std::nullopt;
  }
  return m_response;
}

std::uint64_t LookupCache::Lookups() const
{
  std::lock_guard lock(m_mutex);
  return m_lookups;
}

std::uint64_t LookupCache::Failures() const
{
  std::lock_guard lock(m_mutex);
  return m_failures;
}

void LookupCache::RefreshLoop()
{
  std::size_t entry = 0;
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    lock.unlock();
    std::optional<LookupResponse> response = LookUp(m_options.m_entries[entry]);
    lock.lock();
    ++m_lookups;
    steady_clock::duration delay = kRetryDelay;
    if (response) {
      // Refreshed at 90 % of the remaining lifetime, so that requests need not wait.
      delay = (response->m_expires - steady_clock::now()) * 9 / 10;
      m_response = std::move(response);
    } else {
      ++m_failures;
      entry = (entry + 1) % m_options.m_entries.size();
    }
    m_stopSignal.wait_for(lock, delay, [this] { return m_stop; });
  }
}

std::optional<LookupResponse> LookupCache::LookUp(const std::string& aEntry) const
{
  std::string url = "http://" + aEntry + "/v1/lookup?service=" + m_options.m_service;
  if (!m_options.m_callerIp.empty()) {
    url += "&caller=" + m_options.m_callerIp;
  }
  const auto sentAt = steady_clock::now();
  const std::optional<HttpClientResponse> httpResponse = HttpGet(url, kLookupTimeout);
  const auto json = httpResponse && httpResponse->m_status == 200
                      ? platform::ParseJsonObject(httpResponse->m_body)
                      : std::nullopt;
  if (!json || !(*json)["vms"].isArray() || (*json)["vms"].empty() ||
      !(*json)["lifetime_ms"].isUInt()) {
    return std::nullopt;
  }
  LookupResponse response;
  response.m_scope = (*json)["scope"].asString();
  response.m_expires = sentAt + milliseconds{ (*json)["lifetime_ms"].asUInt() };
  for (const Json::Value& vm : (*json)["vms"]) {
    response.m_vms.push_back({ vm["id"].asString(), vm["address"].asString() });
  }
  return response;
}

} // namespace jaylane::testing
