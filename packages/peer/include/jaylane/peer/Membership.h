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
  /// A member without news for this long is probed; longer if a digest does not hold all members.
  std::chrono::milliseconds m_suspectAfter{ 3000 };
  /// Members described in one message; bounds its size whatever the fleet's.
  std::size_t m_maxDigest = 64;
  /// Suspects probed in one round.
  std::size_t m_maxProbes = 4;
  /// Members of each other zone that are tracked; the own zone is tracked in full.
  std::size_t m_perOtherZone = 4;
};

/// What this VM knows of the other entry VMs: their latest heartbeats and whether they can be
/// reached. Heartbeats spread by exchanges with random members; a member without news is probed
/// directly, then through others. Not thread safe.
class Membership
{
public:
  /// @param aSelf this VM; its heartbeat starts at 1.
  Membership(MemberInfo aSelf, MembershipOptions aOptions);

  /// Raises this VM's heartbeat and replaces what it says about itself.
  void UpdateSelf(std::string aScope,
                  bool aLeaving,
                  std::vector<std::string> aInherited,
                  std::string aLoad);

  /// Takes the members that the platform lists; others are forgotten.
  void SetListedMembers(const std::vector<MemberInfo>& aListed, base::MonotonicTime aNow);

  /// Takes what a peer knows. Unlisted members and older heartbeats are ignored; the identity of a
  /// member stays as listed.
  void Merge(const std::vector<MemberInfo>& aMembers, base::MonotonicTime aNow);

  /// Random members, because news that only the freshest members of each VM carry does not spread
  /// to all once a digest cannot hold them.
  /// @param aRandom returns uniformly distributed 64 bits.
  /// @return this VM, then other members without their identity.
  std::vector<MemberInfo> Digest(const std::function<std::uint64_t()>& aRandom) const;

  /// @param aRandom returns uniformly distributed 64 bits.
  /// @return a member of the own zone and one of another zone, as far as there are any.
  std::vector<MemberInfo> PickPartners(const std::function<std::uint64_t()>& aRandom) const;

  /// @return members without news, the longest silent first.
  std::vector<MemberInfo> Suspects(base::MonotonicTime aNow) const;

  /// @param aIncarnation a suspect that responded, directly or to another VM.
  void MarkReachable(const std::string& aIncarnation, base::MonotonicTime aNow);

  /// @param aIncarnation a suspect that neither this VM nor others could reach.
  void MarkUnreachable(const std::string& aIncarnation);

  /// @return incarnations that could not be reached; news clears the mark.
  std::set<std::string> Unreachable() const;

  /// @return load reports of the other members of the own zone.
  std::vector<std::string> ZoneLoads() const;

  /// @return the member, or nullptr.
  const MemberInfo* Find(const std::string& aIncarnation) const;

  /// @return the member that took over the scopes of an incarnation, or nullptr.
  const MemberInfo* FindSuccessor(const std::string& aIncarnation) const;

  const MemberInfo& Self() const { return m_self; }
  std::size_t size() const { return m_members.size(); }

private:
  struct Member
  {
    MemberInfo m_info;
    base::MonotonicTime m_newsAt;
    bool m_unreachable = false;
  };

  std::chrono::milliseconds SuspectAfter() const;
  bool IsTracked(const MemberInfo& aMember, std::map<std::string, std::size_t>& aPerZone) const;

  MemberInfo m_self;
  const MembershipOptions m_options;
  std::map<std::string, Member> m_members;
};

} // namespace jaylane::peer
