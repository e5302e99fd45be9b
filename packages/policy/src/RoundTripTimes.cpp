#include "jaylane/policy/RoundTripTimes.h"

#include "QuantileTracker.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Round-trip times assumed until the first measurement.
constexpr milliseconds kZoneRoundTrip{ 1 };
constexpr milliseconds kRegionRoundTrip{ 3 };
constexpr milliseconds kOtherRegionRoundTrip{ 60 };
/// A low quantile, because connections take longer for other reasons than distance but never less
/// time.
constexpr double kQuantile = 0.2;
constexpr double kAlpha = 0.1;
/// Shortest estimate, so that a multiplicative update can raise it again.
constexpr double kMinMillis = 0.1;

milliseconds Assumed(NetworkDistance::Scope aScope)
{
  switch (aScope) {
    case NetworkDistance::Scope::Zone:
      return kZoneRoundTrip;
    case NetworkDistance::Scope::Region:
      return kRegionRoundTrip;
    case NetworkDistance::Scope::OtherRegion:
      break;
  }
  return kOtherRegionRoundTrip;
}

} // namespace

void RoundTripTimes::Record(const NetworkDistance& aDistance, std::chrono::nanoseconds aConnectTime)
{
  const double time = std::chrono::duration<double, std::milli>(aConnectTime).count();
  double& estimate = m_estimatesMs[aDistance];
  detail::TrackQuantile(estimate, std::max(time, kMinMillis), kQuantile, kAlpha);
}

milliseconds RoundTripTimes::Estimate(const NetworkDistance& aDistance) const
{
  const auto estimate = m_estimatesMs.find(aDistance);
  return estimate == m_estimatesMs.end()
           ? Assumed(aDistance.m_scope)
           : milliseconds{ static_cast<std::int64_t>(std::ceil(estimate->second)) };
}

} // namespace jaylane::policy
