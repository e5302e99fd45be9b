#include "LookupCache.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/HttpCall.h"

#include <algorithm>

namespace jaylane::testing {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kLookupTimeout{ 1000 };
constexpr milliseconds kRetryPause{ 20 };

} // namespace

LookupCache::LookupCache(const CallerOptions& aOptions)
  : m_options(aOptions)
  , m_thread([this] { Loop(); })
{
}

LookupCache::~LookupCache()
{
  {
    std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_stopped.notify_one();
  m_thread.join();
}

std::optional<LookupAnswer> LookupCache::Current() const
{
  std::lock_guard lock(m_mutex);
  if (!m_answer || m_answer->m_expires <= steady_clock::now()) {
    return std::nullopt;
  }
  return m_answer;
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

void LookupCache::Loop()
{
  std::size_t entry = 0;
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    lock.unlock();
    std::optional<LookupAnswer> answer = LookUp(m_options.m_entries[entry]);
    lock.lock();
    ++m_lookups;
    steady_clock::duration pause = kRetryPause;
    if (answer) {
      // Renewed at nine tenths of the lifetime, so that requests need not wait.
      pause = (answer->m_expires - steady_clock::now()) * 9 / 10;
      m_answer = std::move(answer);
    } else {
      ++m_failures;
      entry = (entry + 1) % m_options.m_entries.size();
    }
    m_stopped.wait_for(lock, pause, [this] { return m_stop; });
  }
}

std::optional<LookupAnswer> LookupCache::LookUp(const std::string& aEntry) const
{
  std::string url = "http://" + aEntry + "/v1/lookup?service=" + m_options.m_service;
  if (!m_options.m_callerIp.empty()) {
    url += "&caller=" + m_options.m_callerIp;
  }
  const auto asked = steady_clock::now();
  const std::optional<HttpClientResponse> reply = HttpGet(url, kLookupTimeout);
  const auto json =
    reply && reply->m_status == 200 ? platform::ParseJsonObject(reply->m_body) : std::nullopt;
  if (!json || !(*json)["vms"].isArray() || (*json)["vms"].empty() ||
      !(*json)["lifetime_ms"].isUInt()) {
    return std::nullopt;
  }
  LookupAnswer answer;
  answer.m_scope = (*json)["scope"].asString();
  answer.m_expires = asked + milliseconds{ (*json)["lifetime_ms"].asUInt() };
  for (const Json::Value& vm : (*json)["vms"]) {
    answer.m_vms.push_back({ vm["id"].asString(), vm["address"].asString() });
  }
  return answer;
}

} // namespace jaylane::testing
