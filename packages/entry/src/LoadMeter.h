#pragma once

#include "LoadReport.h"
#include "VmContext.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Measures the load that this VM admits: the time that its requests occupy upstream slots, per
/// time elapsed. Thread safe.
class LoadMeter
{
public:
  /// Length of a measurement interval.
  static constexpr std::chrono::seconds kInterval{ 5 };

  explicit LoadMeter(const VmContext& aContext);

  /// Adds a finished request.
  /// @param aOrigin region of the caller.
  /// @param aBucket bucket of the caller's block within the origin.
  /// @param aUpstreamTime total duration of the attempts at upstreams.
  void Record(const std::string& aService,
              const std::string& aOrigin,
              std::uint32_t aBucket,
              std::chrono::nanoseconds aUpstreamTime);

  /// @return the load of the last complete interval; without services before the first.
  LoadReport Report();

private:
  /// A bucket is reported separately if its load is this many times the mean.
  static constexpr double kHotFactor = 16;
  /// Most buckets reported separately for one origin.
  static constexpr std::size_t kMaxHotBuckets = 4;

  using Buckets = std::map<std::uint32_t, std::chrono::nanoseconds>;
  using Origins = std::map<std::string, Buckets>;

  /// Completes the current interval if its time is over.
  void RollOverLocked();
  static OriginLoad Summarize(const Buckets& aBuckets, std::chrono::duration<double> aElapsed);

  const VmContext& m_context;
  std::mutex m_mutex;
  base::MonotonicTime m_startedAt;
  std::map<std::string, Origins> m_current;
  LoadReport m_last;
};

} // namespace jaylane::entry
