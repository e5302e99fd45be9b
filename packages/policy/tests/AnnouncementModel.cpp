#include "AnnouncementModel.h"

#include <algorithm>
#include <numeric>

namespace jaylane::policy {

namespace {

using Time = AnnouncementModel::Time;

constexpr Time kStep{ 50 };
constexpr Time kLookupInterval{ 400 };
constexpr Time kAnnounceInterval{ 400 };
constexpr Time kTimeout{ 1800 };
constexpr std::size_t kZonePeers = 8;
constexpr std::size_t kOtherPeers = 2;
constexpr double kMissedTurns = 3.2;
/// Time after its start at which a VM has read the registered VMs from the store.
constexpr Time kMembersRead{ 300 };
/// Times from the start to readiness, from SIGTERM to the end, and until the next start.
constexpr Time kStarting{ 1000 };
constexpr Time kStopping{ 3000 };
constexpr Time kRestart{ 1000 };

} // namespace

AnnouncementModel::AnnouncementModel(std::size_t aVms, std::size_t aZones, std::uint32_t aSeed)
  : m_zones(aZones)
  , m_random(aSeed)
  , m_vms(aVms)
{
  for (std::size_t i = 0; i < aVms; ++i) {
    m_vms[i].m_name = std::to_string(i);
    m_vms[i].m_zone = i % aZones;
  }
}

void AnnouncementModel::SetState(std::size_t aVm, State aState)
{
  Vm& vm = m_vms[aVm];
  if (vm.m_state == State::Down && aState != State::Down) {
    vm.m_views.assign(m_vms.size(), {});
    vm.m_otherSince.assign(3, std::nullopt);
    vm.m_startedAt = m_now;
    vm.m_announceAt = m_now;
    vm.m_nextZonePeer = m_random();
  }
  vm.m_state = aState;
  if (aState == State::Down) {
    vm.m_downSince = m_now;
  } else if (aState == State::Leaving) {
    Announce(aVm, true);
  } else if (aState == State::Starting) {
    m_changes.push_back({ m_now + kStarting, aVm, State::Ready });
  }
}

void AnnouncementModel::Roll(double aShare, std::size_t aAtATime, Time aGap)
{
  std::vector<std::size_t> order(m_vms.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::shuffle(order, m_random);
  order.resize(static_cast<std::size_t>(static_cast<double>(order.size()) * aShare));
  for (std::size_t i = 0; i < order.size(); ++i) {
    const Time at = m_now + aGap * (i / aAtATime);
    m_changes.push_back({ at, order[i], State::Leaving });
    m_changes.push_back({ at + kStopping, order[i], State::Down });
    m_changes.push_back({ at + kStopping + kRestart, order[i], State::Starting });
  }
}

void AnnouncementModel::RunFor(Time aTime)
{
  for (const Time end = m_now + aTime; m_now < end; m_now += kStep) {
    for (std::size_t i = 0; i < m_changes.size(); ++i) {
      const Change change = m_changes[i];
      if (change.m_at == m_now) {
        SetState(change.m_vm, change.m_state);
      }
    }
    std::erase_if(m_changes, [this](const Change& aChange) { return aChange.m_at <= m_now; });
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      if (m_vms[i].m_state != State::Down && m_vms[i].m_announceAt <= m_now) {
        Announce(i, false);
        m_vms[i].m_announceAt = m_now + kAnnounceInterval;
      }
    }
    if (m_now % kLookupInterval != Time{ 0 }) {
      continue;
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      for (std::size_t region = 0; m_vms[i].m_state != State::Down && region < 3; ++region) {
        Lookup(i, region + 3 * (m_random() % (m_zones / 3)));
      }
    }
  }
}

void AnnouncementModel::Announce(std::size_t aVm, bool aToWholeZone)
{
  Vm& from = m_vms[aVm];
  if (m_now - from.m_startedAt >= kMembersRead) {
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      // Those that have never run are not registered.
      from.m_views[i].m_isKnown |= i != aVm && !m_vms[i].m_views.empty();
    }
  }
  std::vector<std::size_t> zone;
  std::vector<std::size_t> region;
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    if (!from.m_views[i].m_isKnown) {
      continue;
    }
    const bool isInRegion = RegionOf(m_vms[i].m_zone) == RegionOf(from.m_zone);
    (m_vms[i].m_zone == from.m_zone ? zone : isInRegion ? region : others).push_back(i);
  }
  const std::size_t turns = aToWholeZone ? zone.size() : std::min(zone.size(), kZonePeers);
  for (std::size_t i = 0; i < turns; ++i) {
    Tell(aVm, zone[from.m_nextZonePeer++ % zone.size()]);
  }
  for (auto* group : { &region, &others }) {
    std::ranges::shuffle(*group, m_random);
    group->resize(std::min(group->size(), kOtherPeers));
    for (const std::size_t to : *group) {
      Tell(aVm, to);
    }
  }
}

void AnnouncementModel::Tell(std::size_t aFrom, std::size_t aTo)
{
  if (m_vms[aTo].m_state != State::Down) {
    const State state = m_vms[aFrom].m_state;
    m_vms[aTo].m_views[aFrom] = { true, m_now, state == State::Ready, state == State::Leaving };
  }
}

std::vector<LookupScope::Vm> AnnouncementModel::KnownVms(std::size_t aVm) const
{
  const Vm& own = m_vms[aVm];
  const auto zonePeers = static_cast<std::size_t>(
    std::ranges::count_if(m_vms, [&](const Vm& aOther) { return aOther.m_zone == own.m_zone; }) -
    1);
  const auto rounds = static_cast<Time::rep>((zonePeers + kZonePeers - 1) / kZonePeers);
  const auto turn = static_cast<double>(rounds * kAnnounceInterval.count());
  const Time zoneTimeout = std::max(kTimeout, Time{ static_cast<Time::rep>(turn * kMissedTurns) });
  std::vector<LookupScope::Vm> vms;
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    const View& view = own.m_views[i];
    LookupScope::Vm vm{ m_vms[i].m_name,
                        std::to_string(m_vms[i].m_zone),
                        std::to_string(RegionOf(m_vms[i].m_zone)),
                        view.m_isReady,
                        view.m_isLeaving,
                        std::nullopt,
                        m_vms[i].m_zone == own.m_zone ? zoneTimeout : kTimeout };
    if (i == aVm) {
      vm.m_isReady = own.m_state == State::Ready;
      vm.m_isLeaving = own.m_state == State::Leaving;
      vm.m_silence = Time{ 0 };
    } else if (view.m_heardAt) {
      vm.m_silence = m_now - *view.m_heardAt;
    }
    if (i == aVm || view.m_isKnown) {
      vms.push_back(std::move(vm));
    }
  }
  return vms;
}

bool AnnouncementModel::IsRegionReady(std::size_t aRegion) const
{
  return std::ranges::any_of(m_vms, [&](const Vm& aVm) {
    return aVm.m_state == State::Ready && RegionOf(aVm.m_zone) == aRegion;
  });
}

LookupScope::Decision AnnouncementModel::Decide(std::size_t aVm, std::size_t aZone) const
{
  const Vm& vm = m_vms[aVm];
  const LookupScope scope({ std::to_string(RegionOf(vm.m_zone)), { "0", "1", "2" } });
  return scope.Decide(KnownVms(aVm),
                      { std::to_string(aZone), std::to_string(RegionOf(aZone)) },
                      m_now - vm.m_startedAt);
}

void AnnouncementModel::Lookup(std::size_t aVm, std::size_t aZone)
{
  Vm& vm = m_vms[aVm];
  const std::size_t region = RegionOf(aZone);
  const LookupScope::Decision decision = Decide(aVm, aZone);
  Count(region == RegionOf(vm.m_zone) ? m_own : m_other, decision, region);
  auto& since = vm.m_otherSince[region];
  if (decision.m_kind != LookupScope::Kind::OtherRegion || !IsRegionReady(region)) {
    since.reset();
    return;
  }
  since = since.value_or(m_now);
  m_longestOther = std::max(m_longestOther, m_now - *since + kLookupInterval);
}

void AnnouncementModel::Count(Counts& aCounts,
                              const LookupScope::Decision& aDecision,
                              std::size_t aRegion)
{
  Time longestDown{ 0 };
  std::size_t running = 0;
  std::size_t ready = 0;
  for (const std::string& name : aDecision.m_names) {
    const Vm& vm = m_vms[std::stoul(name)];
    const bool isDown = vm.m_state == State::Down;
    ++(isDown ? aCounts.m_deadNames : running);
    ready += vm.m_state == State::Ready ? 1 : 0;
    longestDown = std::max(longestDown, isDown ? m_now - vm.m_downSince : Time{ 0 });
  }
  if (running > 0) {
    m_longestDeadNamed = std::max(m_longestDeadNamed, longestDown);
  }
  aCounts.m_names += aDecision.m_names.size();
  const bool isOutside = aDecision.m_kind == LookupScope::Kind::OtherRegion;
  if (isOutside) {
    aCounts.m_fewestOutside = std::min(aCounts.m_fewestOutside, ready);
  }
  if (IsRegionReady(aRegion)) {
    ++aCounts.m_lookups;
    aCounts.m_otherRegion += isOutside ? 1 : 0;
    aCounts.m_unanswered += aDecision.m_names.empty() ? 1 : 0;
  }
}

} // namespace jaylane::policy
