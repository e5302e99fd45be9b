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

/// Measures the load that this VM admits, as the time for which its requests occupy slots.
/// Thread safe.
class LoadMeter
{
public:
  /// Length of a measurement; the report is that of the last complete one.
  static constexpr std::chrono::seconds kInterval{ 5 };

  explicit LoadMeter(const VmContext& aContext);

  /// @param aOrigin region of the caller.
  /// @param aBucket bucket of the caller's block within the origin.
  /// @param aBusy time for which upstreams worked on the request.
  void Record(const std::string& aService,
              const std::string& aOrigin,
              std::uint32_t aBucket,
              std::chrono::nanoseconds aUpstreamTime);

  /// @return the load of the last complete interval; without services before the first.
  LoadReport Report();

private:
  /// A bucket is reported by itself if it has this many times the mean load.
  static constexpr double kHotFactor = 16;
  static constexpr std::size_t kMaxHotBuckets = 4;

  using Buckets = std::map<std::uint32_t, std::chrono::nanoseconds>;
  using Origins = std::map<std::string, Buckets>;

  void RollOverLocked();
  static OriginLoad Summarize(const Buckets& aBuckets, std::chrono::duration<double> aElapsed);

  const VmContext& m_context;
  std::mutex m_mutex;
  base::MonotonicTime m_startedAt;
  std::map<std::string, Origins> m_current;
  LoadReport m_last;
};

} // namespace jaylane::entry
