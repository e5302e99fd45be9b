#include "FailoverLimiters.h"

namespace jaylane::entry {

FailoverLimiters::FailoverLimiters(const VmContext& aContext)
  : m_context(aContext)
{
}

void FailoverLimiters::Apply(const Config& aConfig)
{
  std::lock_guard lock(m_mutex);
  for (const auto& [name, service] : aConfig.m_services) {
    const auto window = service.m_effective.m_shiftWindow;
    const auto percent = service.m_effective.m_shiftFailoverPartPercent;
    Entry& entry = m_entries[name];
    if (!entry.m_limiter || entry.m_window != window || entry.m_percent != percent) {
      entry = { window,
                percent,
                std::make_shared<FailoverLimiter>(m_context, window, percent / 100.0) };
    }
  }
}

std::shared_ptr<FailoverLimiter> FailoverLimiters::Find(const std::string& aService) const
{
  std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aService);
  return found == m_entries.end() ? nullptr : found->second.m_limiter;
}

void FailoverLimiters::CountRequest(const std::string& aService)
{
  if (const auto limiter = Find(aService)) {
    limiter->CountRequest();
  }
}

bool FailoverLimiters::TryAcquire(const std::string& aService)
{
  const auto limiter = Find(aService);
  return limiter && limiter->TryAcquire();
}

} // namespace jaylane::entry
