#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace jaylane::policy {

/// Selects the VMs of an availability zone that lookups return to callers.
/// Load pattern: hundreds of VMs and upstreams. If all VMs get requests, each meets an upstream
/// about once a minute. Its connection to the upstream has timed out by then, and what it knew of
/// the upstream's load and speed is outdated.
///
/// The requests of a zone go to as few VMs as can serve them with room for a burst. All VMs of a
/// zone select the same ones, by size and then by a hash of their names. More are added at once;
/// fewer are returned only after a while, because callers close their connections to VMs that are
/// left out. Not thread safe.
class EntrySelection
{
public:
  struct Options
  {
    /// Requests per second that a VM can serve with one core, bursts aside.
    double m_requestsPerCore = 700;
    /// VMs that are returned at least, so that some are left when two are lost.
    std::size_t m_minVms = 3;
    /// Time for which fewer VMs must suffice, with the demand multiplied by m_shrinkMargin.
    std::chrono::milliseconds m_shrinkDelay{ 10'000 };
    double m_shrinkMargin = 1.25;
  };

  /// A VM that can serve requests.
  struct Vm
  {
    std::string m_name;
    /// Processor cores; 0 if unknown.
    double m_cores = 0;
    /// Recent requests per second.
    double m_requestsPerSecond = 0;
  };

  explicit EntrySelection(Options aOptions)
    : m_options(aOptions)
  {
  }

  /// @param aVms the running VMs of the zone.
  /// @return names of the selected VMs.
  std::vector<std::string> Select(std::vector<Vm> aVms, base::MonotonicTime aNow);

private:
  Options m_options;
  std::size_t m_count = 0;
  /// Last time at which the present number of VMs was needed.
  base::MonotonicTime m_neededAt;
};

} // namespace jaylane::policy
