#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/peer/Messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jaylane::peer {

struct MembershipOptions
{
  /// A member whose heartbeat has not advanced for this long is probed. Scaled up if a digest
  /// cannot hold all members, because heartbeats then spread more slowly.
  std::chrono::milliseconds m_suspectAfter{ 3000 };
  /// Limit on the other members in a digest. Keeps messages small however many VMs there are.
  std::size_t m_maxDigestMembers = 64;
  /// Limit on the members probed in one round.
  std::size_t m_maxProbes = 4;
  /// Limit on the members tracked in each other zone. All members of the own zone are tracked.
  std::size_t m_maxPerOtherZone = 4;
};

/// This VM's view of the other entry VMs: the latest heartbeat of each and whether it is reachable.
///
/// Heartbeats spread by gossip: VMs exchange digests of their views with random partners. A member
/// whose heartbeat stops advancing is suspected to have failed. The owner of this object probes
/// suspects, directly and then through other VMs, and reports the result. Not thread safe.
class Membership
{
public:
  /// @param aSelf this VM; its heartbeat is set to 1.
  /// @param aOptions timeouts and limits.
  Membership(MemberInfo aSelf, MembershipOptions aOptions);

  /// Increments this VM's heartbeat and replaces its state as described in MemberInfo.
  void UpdateSelf(std::string aScope,
                  bool aLeaving,
                  std::vector<std::string> aInherited,
                  std::string aLoad);

  /// Sets the entry VMs that exist. Members that are not listed are removed.
  /// @param aListed entry VMs from the platform's list; this VM may be among them.
  void SetListedMembers(const std::vector<MemberInfo>& aListed, base::MonotonicTime aNow);

  /// Applies the members in a message of a peer. Ignores those that are not tracked or whose
  /// heartbeat is not newer. Id, region, zone and address stay as listed by the platform.
  void Merge(const std::vector<MemberInfo>& aMembers, base::MonotonicTime aNow);

  /// Selects the members to send to a peer. They are chosen at random: if each VM sent the members
  /// that it heard from last, updates would not reach all VMs once a digest cannot hold all
  /// members.
  /// @param aRandom returns uniformly distributed 64-bit numbers.
  /// @return this VM, then other members without their identity (MemberInfo::WithoutIdentity()).
  std::vector<MemberInfo> Digest(const std::function<std::uint64_t()>& aRandom) const;

  /// Selects the members to exchange digests with.
  /// @param aRandom returns uniformly distributed 64-bit numbers.
  /// @return a random member of the own zone and one of another zone, as far as there are any.
  std::vector<MemberInfo> PickPartners(const std::function<std::uint64_t()>& aRandom) const;

  /// @return members to probe, at most m_maxProbes: those whose heartbeat has not advanced for too
  ///   long, the oldest update first, but after them those already found unreachable.
  std::vector<MemberInfo> Suspects(base::MonotonicTime aNow) const;

  /// @param aIncarnation suspect that responded to a probe by this VM or another one.
  void MarkReachable(const std::string& aIncarnation, base::MonotonicTime aNow);

  /// @param aIncarnation suspect that neither this VM nor other VMs could reach.
  void MarkUnreachable(const std::string& aIncarnation);

  /// @return incarnations marked as unreachable. A newer heartbeat removes the mark.
  std::set<std::string> Unreachable() const;

  /// @return load reports of the reachable other members of the own zone.
  std::vector<std::string> ZoneLoads() const;

  /// @return this VM or the tracked member of an incarnation, or nullptr.
  const MemberInfo* Find(const std::string& aIncarnation) const;

  /// @return the member that took over the scopes of an incarnation, or nullptr.
  const MemberInfo* FindSuccessor(const std::string& aIncarnation) const;

  const MemberInfo& Self() const { return m_self; }
  std::size_t size() const { return m_members.size(); }

private:
  struct Member
  {
    MemberInfo m_info;
    /// When the heartbeat last advanced or a probe succeeded.
    base::MonotonicTime m_lastUpdate;
    bool m_unreachable = false;
  };

  /// @return time without an update after which a member is suspected.
  std::chrono::milliseconds SuspectAfter() const;
  /// @param aPerZone members of other zones tracked so far, by zone; counts aMember.
  bool IsTracked(const MemberInfo& aMember, std::map<std::string, std::size_t>& aPerZone) const;

  MemberInfo m_self;
  const MembershipOptions m_options;
  /// Tracked members by incarnation.
  std::map<std::string, Member> m_members;
};

} // namespace jaylane::peer
