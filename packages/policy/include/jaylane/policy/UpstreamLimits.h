#pragma once

#include "jaylane/base/Clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::policy {

/// What some VM has read in the last response of an upstream about its limit.
struct LimitObservation
{
  std::string m_upstream;
  /// Requests per second that the upstream takes from all VMs together; empty if it no longer names
  /// a limit.
  std::optional<double> m_perSecond;
  base::MonotonicTime m_seenAt;
};

/// Limits that upstreams name in their responses, as seen by this VM and by others.
/// Load pattern: an upstream in need is met by each of hundreds of VMs once a minute.
///
/// The newest observation counts. A limit lasts until a newer response without one, however long
/// that takes. Not thread safe.
class UpstreamLimits
{
public:
  /// @return whether the limit has changed.
  bool Observe(const LimitObservation& aObservation);

  /// @return requests per second that the upstream takes; empty if it has no limit.
  std::optional<double> LimitOf(const std::string& aUpstream) const;

  /// @return the upstreams that have a limit.
  std::vector<std::string> Limited() const;

  /// @return recent observations, which other VMs may lack.
  std::vector<LimitObservation> Recent(base::MonotonicTime aNow) const;

  /// Forgets old observations, apart from the limits of upstreams that exist.
  /// @param aExists returns whether an upstream is registered.
  void RemoveExpired(const std::function<bool(const std::string& aUpstream)>& aExists,
                     base::MonotonicTime aNow);

private:
  std::map<std::string, LimitObservation> m_observations;
};

} // namespace jaylane::policy
