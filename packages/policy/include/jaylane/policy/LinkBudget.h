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

/// Class of a transfer over a link. Bulk transfers may use only a fraction of the bandwidth.
enum class TransferClass
{
  Interactive,
  Bulk,
};

/// Bandwidth of the link from the VM's own region to another region.
struct LinkRate
{
  std::string m_toRegion;
  std::uint64_t m_bytesPerSecond = 0;
};

/// Parameters of the link budget; equal on all VMs of a region.
struct LinkLimits
{
  std::vector<LinkRate> m_links;
  /// Number of entry VMs in the sending region, from the settings.
  std::uint32_t m_vmCount = 1;
  /// Largest fraction of the bandwidth that bulk transfers may use.
  double m_bulkFraction = 0.5;
  /// Burst size, as the time in which it is sent at the full rate.
  std::chrono::milliseconds m_burst{ 100 };
};

/// A VM's fixed shares of the links from its region. Each link has a token bucket of bytes for all
/// transfers and another one for bulk transfers. Links that are not configured are not limited.
/// Not thread safe.
class LinkBudget
{
public:
  /// @param aStartedAt start of this process. The buckets are empty then, because the previous
  ///   process on the same VM may just have emptied them.
  /// @return the budget, or InvalidLimits.
  static base::Result<LinkBudget> Make(const LinkLimits& aLimits, base::MonotonicTime aStartedAt);

  /// Takes bytes for the next piece of a transfer. Called once for each piece.
  /// @param aWanted bytes that are ready to be sent.
  /// @return bytes that may be sent now, from 0 to aWanted.
  std::uint64_t Acquire(std::string_view aToRegion,
                        std::uint64_t aWanted,
                        TransferClass aClass,
                        base::MonotonicTime aNow);

  /// @return time until aBytes can be acquired, or the burst size if that is smaller;
  ///   nanoseconds::max() if never.
  std::chrono::nanoseconds WaitFor(std::string_view aToRegion,
                                   std::uint64_t aBytes,
                                   TransferClass aClass,
                                   base::MonotonicTime aNow) const;

private:
  struct TokenBucket
  {
    double m_bytesPerSecond = 0;
    /// Capacity in bytes.
    double m_burst = 0;
    /// Bytes available at m_updatedAt.
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

  /// By destination region.
  std::map<std::string, Link, std::less<>> m_links;
};

} // namespace jaylane::policy
