#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// Bulk transfers may use only a fraction of a link.
enum class TransferClass
{
  Interactive,
  Bulk,
};

/// Bandwidth of the link from a VM's own region to another.
struct LinkRate
{
  std::string m_toRegion;
  std::uint64_t m_bytesPerSecond = 0;
};

struct LinkLimits
{
  std::vector<LinkRate> m_links;
  /// Entry VMs of the sending region, from the settings.
  std::uint32_t m_vmCount = 1;
  double m_bulkFraction = 0.5;
  /// Traffic that may be sent at once, as time at the full rate.
  std::chrono::milliseconds m_burst{ 100 };
};

/// A VM's fixed shares of the links from its region: a token bucket of bytes for each, with a
/// second one for bulk transfers. Links that are not configured are not limited.
class LinkBudget
{
public:
  /// @param aStartedAt buckets start empty then: a predecessor may just have emptied them.
  /// @return the budget, or InvalidLimits.
  static base::Result<LinkBudget> Make(const LinkLimits& aLimits, base::MonotonicTime aStartedAt);

  /// Takes bytes for the next piece of a transfer; long uploads call this again and again.
  /// @param aWanted bytes ready to be sent.
  /// @return bytes that may be sent now, from none to aWanted.
  std::uint64_t Acquire(std::string_view aToRegion,
                        std::uint64_t aWanted,
                        TransferClass aClass,
                        base::MonotonicTime aNow);

  /// @return how long until aBytes, or the largest burst if smaller, can be drawn.
  std::chrono::nanoseconds WaitFor(std::string_view aToRegion,
                                   std::uint64_t aBytes,
                                   TransferClass aClass,
                                   base::MonotonicTime aNow) const;

private:
  struct TokenBucket
  {
    double m_bytesPerSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    base::MonotonicTime m_updatedAt{};

    double TokensAt(base::MonotonicTime aNow) const;
  };
  struct Link
  {
    TokenBucket m_all;
    TokenBucket m_bulk;
  };

  LinkBudget() = default;

  std::map<std::string, Link, std::less<>> m_links;
};

} // namespace jaylane::policy
