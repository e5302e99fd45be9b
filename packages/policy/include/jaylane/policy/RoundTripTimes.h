#pragma once

#include <chrono>
#include <compare>
#include <map>
#include <string>

namespace jaylane::policy {

/// How far away an upstream is from this VM.
struct NetworkDistance
{
  enum class Scope
  {
    Zone,
    Region,
    OtherRegion,
  };

  Scope m_scope = Scope::Zone;
  /// The other region; empty in the other scopes.
  std::string m_region;

  auto operator<=>(const NetworkDistance&) const = default;
};

/// Network round-trip times by distance, estimated from the times to establish connections.
/// Load pattern: regions that are a few or many milliseconds apart, and connections that take
/// longer because a packet was lost or the upstream was busy. Not thread safe.
class RoundTripTimes
{
public:
  /// @param aConnectTime time to establish a connection.
  void Record(const NetworkDistance& aDistance, std::chrono::nanoseconds aConnectTime);

  /// @return the estimate, rounded up; an assumed time before the first measurement.
  std::chrono::milliseconds Estimate(const NetworkDistance& aDistance) const;

private:
  std::map<NetworkDistance, double> m_estimatesMs;
};

} // namespace jaylane::policy
