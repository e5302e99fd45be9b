#pragma once

#include "ConfigState.h"
#include "FailoverLimiter.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jaylane::entry {

/// The FailoverLimiter of each service, as configured. Thread safe.
class FailoverLimiters
{
public:
  explicit FailoverLimiters(const VmContext& aContext);

  /// Applies a generation of the settings. A limiter whose cap or window has changed is replaced
  /// by one that allows nothing until a window has passed.
  void Apply(const Config& aConfig);

  /// Counts a request received from a caller.
  void CountRequest(const std::string& aService);

  /// @return whether a request may be served here although another site should serve it.
  bool TryAcquire(const std::string& aService);

private:
  struct Entry
  {
    std::chrono::seconds m_window{ 0 };
    std::uint32_t m_percent = 0;
    std::shared_ptr<FailoverLimiter> m_limiter;
  };

  std::shared_ptr<FailoverLimiter> Find(const std::string& aService) const;

  const VmContext& m_context;
  mutable std::mutex m_mutex;
  std::map<std::string, Entry> m_entries;
};

} // namespace jaylane::entry
