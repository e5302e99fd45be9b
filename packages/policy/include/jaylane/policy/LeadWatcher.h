#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace jaylane::policy {

/// Decides whether this VM is the lead watcher: the one whose watches of the store are short, so
/// that a store that has gone silent is noticed before the other VMs' long watches end.
/// Load pattern: all open connections to the store go silent without a reset while changes go on,
/// and each call to the store is charged.
///
/// One VM that watches the store leads, and raises the beat of its heartbeat as long as its watches
/// are answered. Announcements pass the heartbeat on from VM to VM. A VM that has not seen a beat
/// rise for a while takes over, so that each part of a divided fleet has a lead watcher. Of two
/// that lead, the one of the lower rank goes on. Not thread safe.
class LeadWatcher
{
public:
  struct Options
  {
    /// Time without a higher beat after which a lead watcher counts as lost. It covers the
    /// differences between the beats' ways through the fleet.
    std::chrono::milliseconds m_heartbeatTimeout{ 2000 };
    /// The VMs take over one after the other within this time, in the order of their ranks.
    std::chrono::milliseconds m_takeoverSpread{ 1000 };
    /// Time after its start for which a VM does not take over in addition. VMs that start together
    /// do not know each other before.
    std::chrono::milliseconds m_startDelay{ 2000 };
    /// Shortest time between two silences that are told to the other VMs, each of which makes new
    /// calls to the store then.
    std::chrono::milliseconds m_silenceInterval{ 5000 };
  };

  struct Heartbeat
  {
    /// Rank of the lead watcher.
    std::uint32_t m_rank = 0;
    /// Rises as long as the lead watcher's watches are answered.
    std::uint32_t m_beat = 0;
    /// Number of times that the lead watcher has found its connections to the store silent.
    std::uint32_t m_silences = 0;

    bool operator==(const Heartbeat&) const = default;
  };

  /// Ranks are below this number.
  static constexpr std::uint32_t kRanks = 1U << 24;

  /// @param aName name of this VM, from which its rank follows.
  /// @param aNow start of the VM. It listens for the lead watcher before it takes over. Its first
  ///   beat follows from this time, so that it is higher than those before a restart.
  LeadWatcher(Options aOptions, std::string_view aName, base::MonotonicTime aNow);

  /// Another VM has announced a heartbeat, its own or one that it has heard.
  void OnHeartbeat(const Heartbeat& aHeartbeat, base::MonotonicTime aNow);

  /// The lead watcher of a rank has announced that it no longer leads.
  void OnResigned(std::uint32_t aRank, base::MonotonicTime aNow);

  /// This VM has found its connections to the store silent.
  void OnSilence(base::MonotonicTime aNow);

  /// @param aIsWatching whether this VM was elected to watch the store, and its watches are
  ///   answered.
  /// @return whether this VM is the lead watcher.
  bool Decide(bool aIsWatching, base::MonotonicTime aNow);

  /// @return the heartbeat to announce; nothing if no lead watcher is known.
  std::optional<Heartbeat> Current(base::MonotonicTime aNow) const;

  /// @return when the beat of another VM that leads last rose, so that its watches were answered;
  ///   nothing if no other VM is known to lead.
  std::optional<base::MonotonicTime> OtherRoseAt(base::MonotonicTime aNow) const;

  /// @return whether the lead watcher has found its connections silent since the last call. Those
  ///   of this VM may be silent, too.
  bool TakeSilence();

  std::uint32_t Rank() const { return m_rank; }

private:
  struct Lead
  {
    Heartbeat m_heartbeat;
    /// When its beat last rose, as seen by this VM.
    base::MonotonicTime m_roseAt;
  };

  std::chrono::milliseconds TakeoverTime() const;
  /// Raises the number of silences unless that was done a short time ago.
  void TellSilence(base::MonotonicTime aNow);
  bool IsFresh(const Lead& aLead, base::MonotonicTime aNow) const;
  /// @return whether the beat is higher than all that were heard of its rank.
  bool HasRisen(const Heartbeat& aHeartbeat, base::MonotonicTime aNow);

  Options m_options;
  std::uint32_t m_rank;
  base::MonotonicTime m_started;
  std::optional<Lead> m_lead;
  bool m_isLead = false;
  std::uint32_t m_beat;
  std::uint32_t m_silences = 0;
  std::optional<base::MonotonicTime> m_silenceAt;
  bool m_isSilencePending = false;
  bool m_hasSilence = false;
  /// Last beat of each rank that was heard lately, because old beats are still passed on.
  std::map<std::uint32_t, Lead> m_heard;
};

} // namespace jaylane::policy
