#include "HeldRequests.h"

#include <algorithm>
#include <utility>

namespace jaylane::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Interval at which held requests are tried again without a response of their service.
constexpr milliseconds kRetryInterval{ 20 };
/// Requests that are tried at a time, the most urgent ones. Each try ranks all upstreams.
constexpr std::size_t kMaxTriesPerRetry = 16;
/// Shortest time between two tries. Each costs a ranking of all upstreams per held request, which
/// bounds the work on a VM with a tenth of a core.
constexpr milliseconds kMinRetryInterval{ 10 };

} // namespace

HeldRequests::Service::Service(boost::asio::io_context& aIo)
  : m_timer(aIo)
{
}

HeldRequests::HeldRequests(boost::asio::io_context& aIo, const base::Clock& aClock)
  : m_io(aIo)
  , m_clock(aClock)
{
}

HeldRequests::~HeldRequests() = default;

HeldRequests::Service& HeldRequests::Find(const std::string& aService)
{
  std::unique_ptr<Service>& service = m_services[aService];
  if (!service) {
    service = std::make_unique<Service>(m_io);
  }
  return *service;
}

bool HeldRequests::Hold(const std::string& aService,
                        std::uint64_t aId,
                        const policy::HoldQueue::Situation& aSituation,
                        Hooks aHooks)
{
  Service& service = Find(aService);
  service.m_queue.Remove(aId);
  const auto request = service.m_queue.Assess(aId, aSituation, m_clock.Monotonic());
  if (!request) {
    return false;
  }
  const auto displaced = service.m_queue.Put(*request);
  if (displaced == aId) {
    return false;
  }
  service.m_hooks[aId] = std::move(aHooks);
  Schedule(service, kRetryInterval);
  if (displaced) {
    if (auto node = service.m_hooks.extract(*displaced)) {
      node.mapped().m_onDisplaced();
    }
  }
  return true;
}

void HeldRequests::OnSent(const std::string& aService, std::uint64_t aId)
{
  Find(aService).m_queue.OnSent(aId, m_clock.Monotonic());
  Find(aService).m_hooks.erase(aId);
}

void HeldRequests::Remove(const std::string& aService, std::uint64_t aId)
{
  if (const auto service = m_services.find(aService); service != m_services.end()) {
    service->second->m_queue.Remove(aId);
    service->second->m_hooks.erase(aId);
  }
}

void HeldRequests::OnResponse(const std::string& aService)
{
  const auto found = m_services.find(aService);
  if (found == m_services.end() || found->second->m_queue.size() == 0) {
    return;
  }
  Service& service = *found->second;
  const nanoseconds sinceRetry = m_clock.Monotonic() - service.m_lastRetryAt;
  Schedule(service, std::max(nanoseconds{ 0 }, kMinRetryInterval - sinceRetry));
}

void HeldRequests::Schedule(Service& aService, nanoseconds aDelay)
{
  const auto due = std::chrono::steady_clock::now() + aDelay;
  if (aService.m_isScheduled && aService.m_timer.expiry() <= due) {
    return;
  }
  aService.m_isScheduled = true;
  aService.m_timer.expires_at(due);
  aService.m_timer.async_wait([this, &aService](const boost::system::error_code& aError) {
    if (!aError) {
      aService.m_isScheduled = false;
      RetryAll(aService);
    }
  });
}

void HeldRequests::RetryAll(Service& aService)
{
  std::size_t tries = 0;
  for (const std::uint64_t id : aService.m_queue.InOrder()) {
    if (++tries > kMaxTriesPerRetry) {
      break;
    }
    // A request that was tried before may have displaced this one.
    if (const auto hooks = aService.m_hooks.find(id); hooks != aService.m_hooks.end()) {
      const auto onRetry = hooks->second.m_onRetry;
      onRetry();
    }
  }
  // After the tries, so that they take a bounded part of the processor time.
  aService.m_lastRetryAt = m_clock.Monotonic();
  if (aService.m_queue.size() > 0) {
    Schedule(aService, kRetryInterval);
  }
}

std::size_t HeldRequests::Count() const
{
  std::size_t count = 0;
  for (const auto& [name, service] : m_services) {
    count += service->m_queue.size();
  }
  return count;
}

} // namespace jaylane::gateway
