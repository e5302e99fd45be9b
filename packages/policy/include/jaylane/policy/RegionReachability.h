#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace jaylane::policy {

/// Tells from failed attempts which regions are cut off, and which part of the affinity keys may be
/// placed in each region.
/// Load pattern: a link between regions fails, and a VM with hundreds of upstreams behind it would
/// find out by a timeout for each of them.
///
/// A region is cut off once several of its upstreams in a row could not be reached and none
/// responded in between. Its keys are then placed elsewhere at once. After the next response they
/// return within m_returnTime, so that few requests change their region at a time. Not thread safe.
class RegionReachability
{
public:
  struct Options
  {
    /// Unreachable upstreams without a response in between that mean a cut.
    std::size_t m_failuresUntilCut = 4;
    /// Time over which the keys return.
    std::chrono::milliseconds m_returnTime{ 25'000 };
  };

  explicit RegionReachability(Options aOptions)
    : m_options(aOptions)
  {
  }

  /// A connection to an upstream could not be established. Silence on an established connection
  /// does not count: upstreams that are busy with first requests of many keys are silent, too.
  /// @return whether the region counts as cut off from now on.
  bool OnFailure(const std::string& aRegion, const std::string& aUpstream);

  /// An upstream responded to a request or a probe.
  /// @return whether this ended a cut.
  bool OnResponse(const std::string& aRegion, base::MonotonicTime aNow);

  /// @return fraction of the keys that may be placed in the region.
  double KeyShare(const std::string& aRegion, base::MonotonicTime aNow) const;

  /// @return whether the keys of some region are returning to it.
  bool IsReturning(base::MonotonicTime aNow) const;

private:
  struct State
  {
    /// Upstreams that failed since the last response.
    std::set<std::string> m_failed;
    bool m_isCutOff = false;
    bool m_wasCutOff = false;
    base::MonotonicTime m_regainedAt;
  };

  Options m_options;
  std::map<std::string, State> m_regions;
};

} // namespace jaylane::policy
