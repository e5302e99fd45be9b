#include "jaylane/policy/QuotaBroker.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Part of a bucket that one VM may take in advance of its requests, so that others find credit.
constexpr double kMaxAdvance = 0.5;
/// Level, as a part of the capacity, below which VMs that get less than they want are told to wait.
constexpr double kLowLevel = 0.2;
/// Shortest time that they wait. It bounds the messages of a team that is over its quota.
constexpr milliseconds kMinRetry{ 250 };
constexpr milliseconds kMaxRetry{ 5000 };
/// Time after its last report for which a VM is remembered. Its commitments and credits have
/// expired long before.
constexpr std::chrono::minutes kVmMemory{ 1 };

} // namespace

QuotaBroker::QuotaBroker(std::uint32_t aInstance, base::MonotonicTime aNow)
  : m_instance(aInstance)
  , m_started(aNow)
  , m_advancedAt(aNow)
{
}

void QuotaBroker::SetQuotas(const std::vector<TeamQuota>& aQuotas, base::MonotonicTime aNow)
{
  Advance(aNow);
  std::map<std::string, Team> teams;
  for (const TeamQuota& quota : aQuotas) {
    Team& team = teams[quota.m_team];
    if (const auto known = m_teams.find(quota.m_team); known != m_teams.end()) {
      Refill(known->second, aNow);
      team = std::move(known->second);
    } else {
      team.m_refilledAt = m_shareSeconds;
    }
    team.m_quota = quota;
  }
  m_teams = std::move(teams);
}

void QuotaBroker::SetKnownVms(std::uint32_t aKnownVms, base::MonotonicTime aNow)
{
  Advance(aNow);
  m_knownVms = aKnownVms;
}

QuotaBroker::Commitments QuotaBroker::CountCommitments(base::MonotonicTime aNow) const
{
  Commitments counts{ 0, m_knownVms };
  for (const auto& [name, vm] : m_vms) {
    counts.m_known = std::max(counts.m_known, vm.m_knownVms);
    counts.m_committed += aNow < vm.m_committedUntil ? 1 : 0;
  }
  counts.m_known = std::max(counts.m_known, counts.m_committed);
  return counts;
}

double QuotaBroker::GrantedShare(base::MonotonicTime aNow) const
{
  if (m_knownVms == 0) {
    return 0;
  }
  const Commitments counts = CountCommitments(aNow);
  const double weight = static_cast<double>(counts.m_committed) / counts.m_known;
  return counts.IsMajority() ? 1 - kQuotaReserve * (1 - weight) : kQuotaReserve * weight;
}

void QuotaBroker::Advance(base::MonotonicTime aNow)
{
  // The share only falls between two reports, so that the present one is the lowest.
  m_share = GrantedShare(aNow);
  const std::chrono::duration<double> elapsed = aNow - m_advancedAt;
  m_shareSeconds += std::max(elapsed.count(), 0.0) * m_share;
  m_advancedAt = aNow;
}

double QuotaBroker::Capacity(const Team& aTeam) const
{
  const double burst = std::max(aTeam.m_quota.m_burst, 1.0);
  // With a burst of so few requests the reserve of the other VMs is too small for a request.
  return m_share > kQuotaReserve ? std::max(burst * m_share, 1.0) : burst * m_share;
}

void QuotaBroker::Refill(Team& aTeam, base::MonotonicTime aNow)
{
  std::uint32_t handedOut = 0;
  for (auto& [vm, lots] : aTeam.m_lots) {
    std::erase_if(lots, [aNow](const Lot& aLot) { return aNow >= aLot.m_expiry; });
    for (const Lot& lot : lots) {
      handedOut += lot.m_credits;
    }
  }
  std::erase_if(aTeam.m_lots, [](const auto& aEntry) { return aEntry.second.empty(); });
  aTeam.m_level += aTeam.m_quota.m_ratePerSecond * (m_shareSeconds - aTeam.m_refilledAt);
  aTeam.m_refilledAt = m_shareSeconds;
  aTeam.m_level = std::clamp(Capacity(aTeam) - handedOut, 0.0, aTeam.m_level);
}

bool QuotaBroker::UpdateVm(const QuotaReport& aReport, base::MonotonicTime aNow)
{
  const auto [entry, isNew] = m_vms.try_emplace(aReport.m_vm);
  Vm& vm = entry->second;
  if (isNew || vm.m_instance != aReport.m_instance) {
    vm = { aReport.m_instance, 0, 0, {}, aNow };
  }
  if (aReport.m_number <= vm.m_lastNumber) {
    return false;
  }
  vm.m_lastNumber = aReport.m_number;
  vm.m_knownVms = aReport.m_knownVms;
  vm.m_lastHeard = aNow;
  vm.m_committedUntil = {};
  // Credits granted while the commitment counts must expire before it ends.
  const milliseconds lifetime = aReport.m_commitment - kQuotaCreditLifetime;
  // An earlier process of the VM may be committed to another broker. If this process and the VM's
  // have both just started, most VMs have, and the other broker has lost its majority with them.
  const bool isCounted =
    !aReport.m_isNewProcess || aNow - m_started < QuotaCommitmentTime(m_knownVms);
  if (aReport.m_brokerInstance == m_instance && lifetime.count() > 0 && isCounted) {
    // The report may have been under way for long; it was sent after the time stamp it returns.
    const base::MonotonicTime stamp = m_started + aReport.m_echo;
    vm.m_committedUntil = std::min(stamp, aNow) + lifetime;
  }
  std::erase_if(m_vms,
                [aNow](const auto& aVm) { return aNow - aVm.second.m_lastHeard > kVmMemory; });
  return true;
}

QuotaGrant::Team QuotaBroker::Grant(const QuotaReport& aReport,
                                    const QuotaReport::Team& aRequest,
                                    base::MonotonicTime aNow)
{
  QuotaGrant::Team grant{ aRequest.m_team, 0, kMinRetry };
  const auto found = m_teams.find(aRequest.m_team);
  if (found == m_teams.end()) {
    return grant;
  }
  Team& team = found->second;
  std::vector<Lot>& lots = team.m_lots[{ aReport.m_vm, aReport.m_instance }];
  // What remains of the lots that the VM had received is what it holds. Returned credits count only
  // while their lots do, because they have taken room in the bucket until now.
  std::uint32_t returned = aRequest.m_returned;
  std::uint32_t held = aRequest.m_held;
  std::ranges::sort(lots, std::greater{}, &Lot::m_number);
  for (Lot& lot : lots) {
    if (lot.m_number <= aReport.m_lastGrant) {
      const std::uint32_t kept = std::min(lot.m_credits, held);
      const std::uint32_t freed = aNow < lot.m_expiry ? lot.m_credits - kept : 0;
      const std::uint32_t unused = std::min(freed, returned);
      team.m_level += unused;
      returned -= unused;
      held -= kept;
      lot.m_credits = kept;
    }
  }
  std::erase_if(lots, [](const Lot& aLot) { return aLot.m_credits == 0; });
  Refill(team, aNow);
  const auto available = static_cast<std::uint32_t>(team.m_level);
  const auto advance = static_cast<std::uint32_t>(team.m_level * kMaxAdvance);
  grant.m_credits =
    std::min(aRequest.m_wanted, std::max(std::min(aRequest.m_waiting, available), advance));
  team.m_level -= grant.m_credits;
  if (grant.m_credits > 0) {
    team.m_lots[{ aReport.m_vm, aReport.m_instance }].push_back(
      { aReport.m_number, grant.m_credits, aNow + kQuotaCreditLifetime });
  }
  grant.m_retryAfter = milliseconds{ 0 };
  if (grant.m_credits < aRequest.m_wanted && team.m_level < kLowLevel * Capacity(team)) {
    const double rate = team.m_quota.m_ratePerSecond * m_share;
    const double missing = std::max(0.0, 1 - team.m_level);
    const double seconds =
      rate > 0 ? missing / rate : std::chrono::duration<double>(kMaxRetry).count();
    grant.m_retryAfter = std::clamp(
      milliseconds{ static_cast<std::int64_t>(std::ceil(std::min(seconds, 60.0) * 1000)) },
      kMinRetry,
      kMaxRetry);
  }
  return grant;
}

QuotaGrant QuotaBroker::OnReport(const QuotaReport& aReport, base::MonotonicTime aNow)
{
  Advance(aNow);
  QuotaGrant grant;
  grant.m_vmInstance = aReport.m_instance;
  grant.m_number = aReport.m_number;
  grant.m_brokerInstance = m_instance;
  grant.m_stamp = std::chrono::floor<milliseconds>(aNow - m_started);
  const bool isNewest = UpdateVm(aReport, aNow);
  m_share = GrantedShare(aNow);
  grant.m_hasMajority = m_knownVms > 0 && CountCommitments(aNow).IsMajority();
  if (!grant.m_hasMajority) {
    grant.m_redirect = m_redirect;
  }
  if (!isNewest) {
    return grant;
  }
  for (const QuotaReport::Team& request : aReport.m_teams) {
    QuotaGrant::Team entry = Grant(aReport, request, aNow);
    if (request.m_wanted > 0) {
      grant.m_teams.push_back(std::move(entry));
    }
  }
  return grant;
}

} // namespace jaylane::policy
