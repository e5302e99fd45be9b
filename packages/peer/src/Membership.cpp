#include "jaylane/peer/Membership.h"

#include <algorithm>
#include <utility>

namespace jaylane::peer {

Membership::Membership(MemberInfo aSelf, MembershipOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
  m_self.m_heartbeat = 1;
}

void Membership::UpdateSelf(std::string aScope,
                            bool aLeaving,
                            std::vector<std::string> aInherited,
                            std::string aLoad)
{
  ++m_self.m_heartbeat;
  m_self.m_scope = std::move(aScope);
  m_self.m_leaving = aLeaving;
  m_self.m_inherited = std::move(aInherited);
  m_self.m_load = std::move(aLoad);
}

bool Membership::IsTracked(const MemberInfo& aMember,
                           std::map<std::string, std::size_t>& aPerZone) const
{
  return aMember.m_zone == m_self.m_zone ||
         aPerZone[aMember.m_zone]++ < m_options.m_maxPerOtherZone;
}

void Membership::SetListedMembers(const std::vector<MemberInfo>& aListed, base::MonotonicTime aNow)
{
  std::map<std::string, Member> members;
  std::map<std::string, std::size_t> perZone;
  for (const MemberInfo& listed : aListed) {
    if (listed.m_incarnation == m_self.m_incarnation || !IsTracked(listed, perZone)) {
      continue;
    }
    const auto known = m_members.find(listed.m_incarnation);
    members.emplace(listed.m_incarnation,
                    known == m_members.end() ? Member{ listed, aNow } : known->second);
  }
  m_members = std::move(members);
}

void Membership::Merge(const std::vector<MemberInfo>& aMembers, base::MonotonicTime aNow)
{
  for (const MemberInfo& update : aMembers) {
    const auto found = m_members.find(update.m_incarnation);
    if (found == m_members.end() || found->second.m_info.m_heartbeat >= update.m_heartbeat) {
      continue;
    }
    MemberInfo& known = found->second.m_info;
    known.m_scope = update.m_scope;
    known.m_heartbeat = update.m_heartbeat;
    known.m_leaving = update.m_leaving;
    known.m_inherited = update.m_inherited;
    known.m_load = update.m_load;
    found->second.m_lastUpdate = aNow;
    found->second.m_unreachable = false;
  }
}

std::vector<MemberInfo> Membership::Digest(const std::function<std::uint64_t()>& aRandom) const
{
  std::vector<const MemberInfo*> rest;
  for (const auto& [incarnation, member] : m_members) {
    rest.push_back(&member.m_info);
  }
  std::vector<MemberInfo> digest{ m_self };
  const std::size_t count = std::min(m_options.m_maxDigestMembers, rest.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(rest[i], rest[i + aRandom() % (rest.size() - i)]);
    digest.push_back(rest[i]->WithoutIdentity());
  }
  return digest;
}

std::chrono::milliseconds Membership::SuspectAfter() const
{
  // If a digest holds one nth of the members, updates take about n times as long to spread.
  const std::size_t parts =
    m_members.size() / std::max<std::size_t>(1, m_options.m_maxDigestMembers);
  return m_options.m_suspectAfter * static_cast<int>(parts + 1);
}

std::vector<MemberInfo> Membership::PickPartners(
  const std::function<std::uint64_t()>& aRandom) const
{
  std::vector<const MemberInfo*> own;
  std::vector<const MemberInfo*> other;
  for (const auto& [incarnation, member] : m_members) {
    (member.m_info.m_zone == m_self.m_zone ? own : other).push_back(&member.m_info);
  }
  std::vector<MemberInfo> partners;
  for (const auto* group : { &own, &other }) {
    if (!group->empty()) {
      partners.push_back(*(*group)[aRandom() % group->size()]);
    }
  }
  return partners;
}

std::vector<MemberInfo> Membership::Suspects(base::MonotonicTime aNow) const
{
  std::vector<const Member*> silent;
  for (const auto& [incarnation, member] : m_members) {
    if (aNow - member.m_lastUpdate >= SuspectAfter()) {
      silent.push_back(&member);
    }
  }
  std::sort(silent.begin(), silent.end(), [](const Member* aLeft, const Member* aRight) {
    // Members already found unreachable come last, so that they do not use up the probes of a
    // round.
    return std::pair{ aLeft->m_unreachable, aLeft->m_lastUpdate } <
           std::pair{ aRight->m_unreachable, aRight->m_lastUpdate };
  });
  std::vector<MemberInfo> suspects;
  for (std::size_t i = 0; i < std::min(silent.size(), m_options.m_maxProbes); ++i) {
    suspects.push_back(silent[i]->m_info);
  }
  return suspects;
}

void Membership::MarkReachable(const std::string& aIncarnation, base::MonotonicTime aNow)
{
  const auto found = m_members.find(aIncarnation);
  if (found != m_members.end()) {
    found->second.m_lastUpdate = aNow;
    found->second.m_unreachable = false;
  }
}

void Membership::MarkUnreachable(const std::string& aIncarnation)
{
  const auto found = m_members.find(aIncarnation);
  if (found != m_members.end()) {
    found->second.m_unreachable = true;
  }
}

std::set<std::string> Membership::Unreachable() const
{
  std::set<std::string> unreachable;
  for (const auto& [incarnation, member] : m_members) {
    if (member.m_unreachable) {
      unreachable.insert(incarnation);
    }
  }
  return unreachable;
}

std::vector<std::string> Membership::ZoneLoads() const
{
  std::vector<std::string> loads;
  for (const auto& [incarnation, member] : m_members) {
    if (member.m_info.m_zone == m_self.m_zone && !member.m_unreachable &&
        !member.m_info.m_load.empty()) {
      loads.push_back(member.m_info.m_load);
    }
  }
  return loads;
}

const MemberInfo* Membership::Find(const std::string& aIncarnation) const
{
  if (aIncarnation == m_self.m_incarnation) {
    return &m_self;
  }
  const auto found = m_members.find(aIncarnation);
  return found == m_members.end() ? nullptr : &found->second.m_info;
}

const MemberInfo* Membership::FindSuccessor(const std::string& aIncarnation) const
{
  const auto inherits = [&](const MemberInfo& aMember) {
    return std::count(aMember.m_inherited.begin(), aMember.m_inherited.end(), aIncarnation) > 0;
  };
  if (inherits(m_self)) {
    return &m_self;
  }
  const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const auto& aEntry) {
    return inherits(aEntry.second.m_info);
  });
  return found == m_members.end() ? nullptr : &found->second.m_info;
}

} // namespace jaylane::peer
