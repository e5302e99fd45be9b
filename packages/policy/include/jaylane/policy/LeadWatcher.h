#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jaylane::policy {

/// Decides whether this VM is the lead watcher: the one whose watches of the store are short, so
/// that a store that has gone silent is noticed before the other VMs' long watches end.
/// Load pattern: all open connections to the store go silent without a reset while changes go on,
/// and each call to the store is charged.
///
/// The VM of the lowest rank that watches successfully leads. Announcements pass its heartbeats on
/// from VM to VM. A VM that has heard none for a while takes over, so that each part of a divided
/// fleet has a lead watcher. Two VMs may lead for a moment, which only costs calls. Not thread
/// safe.
class LeadWatcher
{
public:
  struct Options
  {
    /// Age at which a heartbeat no longer counts. It covers the heartbeat's way through the fleet.
    std::chrono::milliseconds m_heartbeatTimeout{ 2000 };
    /// The VMs take over one after the other within this time, in the order of their ranks.
    std::chrono::milliseconds m_takeoverSpread{ 1000 };
  };

  struct Heartbeat
  {
    /// Rank of the lead watcher, the lowest leads.
    std::uint32_t m_rank = 0;
    /// When it last watched the store successfully.
    base::MonotonicTime m_at;
  };

  /// Ranks are below this number.
  static constexpr std::uint32_t kRanks = 1U << 24;

  /// @param aName name of this VM, from which its rank follows.
  /// @param aNow start of the VM. It listens for the lead watcher before it takes over.
  LeadWatcher(Options aOptions, std::string_view aName, base::MonotonicTime aNow);

  /// Another VM has announced a heartbeat, its own or one that it has heard.
  void OnHeartbeat(const Heartbeat& aHeartbeat, base::MonotonicTime aNow);

  /// @param aIsWatching whether this VM was elected to watch the store, and its watches work.
  /// @return whether this VM is the lead watcher.
  bool Decide(bool aIsWatching, base::MonotonicTime aNow);

  /// @return the heartbeat to announce; nothing if no lead watcher is known.
  std::optional<Heartbeat> Current(base::MonotonicTime aNow) const;

  std::uint32_t Rank() const { return m_rank; }

private:
  std::chrono::milliseconds TakeoverTime() const;

  Options m_options;
  std::uint32_t m_rank;
  base::MonotonicTime m_started;
  std::optional<Heartbeat> m_lead;
};

} // namespace jaylane::policy
