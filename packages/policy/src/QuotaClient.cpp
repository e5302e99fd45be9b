#include "jaylane/policy/QuotaClient.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Time between two reports of a VM that needs no credit: this much for each known VM, so that the
/// broker gets at most 100 of them in a second, within bounds.
constexpr milliseconds kReportIntervalPerVm{ 10 };
constexpr milliseconds kMinReportInterval{ 500 };
constexpr milliseconds kMaxReportInterval{ 3000 };
/// Intervals for which a commitment counts at the broker: a lost report does not end it.
constexpr double kCommitmentIntervals = 2.5;
/// Shortest time between a report and the next one because of a waiting request, because of a
/// request whose report was probably lost, and because credits run out.
constexpr milliseconds kMinReportSpacing{ 50 };
constexpr milliseconds kRepeatSpacing{ 90 };
constexpr milliseconds kAdvanceSpacing{ 250 };
/// Time without an answer after which a broker is given up, and for which it is at least.
constexpr milliseconds kBrokerTimeout{ 1000 };
constexpr milliseconds kSuspicionTime{ 10'000 };
/// Time for which a VM that was given up, and after one redirection any other, is not turned to by
/// a redirection, whose sender may not know yet that the broker has ended.
constexpr milliseconds kRedirectionPause{ 2000 };
/// Age up to which an answer shows that the broker has a majority.
constexpr milliseconds kMajorityMemory{ 5000 };
/// Time constant of the demand, and time ahead for which credits are held.
constexpr std::chrono::duration<double> kDemandTime{ 0.7 };
constexpr std::chrono::duration<double> kAdvanceTime{ 0.6 };
/// Expected requests that did not arrive in a row, after which the demand has moved elsewhere.
constexpr double kMissedRequests = 3;
/// Part of the stock below which more is asked for.
constexpr double kLowStock = 0.4;
/// Bytes of a team in a report besides its name, with numbers of three digits.
constexpr std::size_t kTeamEntryBytes = 20;
/// Retry delay where the next credit cannot be foreseen.
constexpr milliseconds kUnknownRetry{ 500 };
constexpr milliseconds kMaxRetry{ 5000 };

/// @return credits above which some go back to the broker.
std::uint32_t SurplusLevel(std::uint32_t aStock)
{
  return 2 * aStock + 1;
}

} // namespace

milliseconds QuotaReportInterval(std::uint32_t aKnownVms)
{
  return std::clamp(
    kReportIntervalPerVm * static_cast<int>(aKnownVms), kMinReportInterval, kMaxReportInterval);
}

milliseconds QuotaCommitmentTime(std::uint32_t aKnownVms)
{
  return kQuotaCreditLifetime +
         std::chrono::floor<milliseconds>(kCommitmentIntervals * QuotaReportInterval(aKnownVms));
}

QuotaClient::QuotaClient(std::string aName, std::uint32_t aInstance, base::MonotonicTime aNow)
  : m_name(std::move(aName))
  , m_instance(aInstance)
  , m_started(aNow)
{
}

void QuotaClient::SetQuotas(const std::vector<TeamQuota>& aQuotas, base::MonotonicTime aNow)
{
  std::map<std::string, Team> teams;
  for (const TeamQuota& quota : aQuotas) {
    Team& team = teams[quota.m_team];
    if (const auto known = m_teams.find(quota.m_team); known != m_teams.end()) {
      team = std::move(known->second);
    } else {
      team.m_demandAt = aNow;
      team.m_reserveAt = aNow;
    }
    team.m_quota = quota;
  }
  m_teams = std::move(teams);
}

void QuotaClient::SetFleet(std::vector<Candidate> aCandidates, std::uint32_t aKnownVms)
{
  m_candidates = std::move(aCandidates);
  m_knownVms = aKnownVms;
}

double QuotaClient::DemandOf(const Team& aTeam, base::MonotonicTime aNow) const
{
  const std::chrono::duration<double> age = aNow - aTeam.m_demandAt;
  return aTeam.m_demand * std::exp(-age / kDemandTime) / kDemandTime.count();
}

std::uint32_t QuotaClient::HeldOf(const Team& aTeam)
{
  return std::accumulate(aTeam.m_lots.begin(),
                         aTeam.m_lots.end(),
                         0U,
                         [](std::uint32_t aSum, const Lot& aLot) { return aSum + aLot.m_credits; });
}

std::uint32_t QuotaClient::HeldCredits() const
{
  std::uint32_t held = 0;
  for (const auto& [name, team] : m_teams) {
    held += HeldOf(team);
  }
  return held;
}

void QuotaClient::DropExpired(Team& aTeam, base::MonotonicTime aNow)
{
  std::erase_if(aTeam.m_lots,
                [aNow](const Lot& aLot) { return aLot.m_credits == 0 || aNow >= aLot.m_expiry; });
}

std::uint32_t QuotaClient::StockOf(const Team& aTeam, base::MonotonicTime aNow) const
{
  const std::chrono::duration<double> silence = aNow - aTeam.m_demandAt;
  if (silence.count() * DemandOf(aTeam, aTeam.m_demandAt) > kMissedRequests) {
    return 0;
  }
  // Rounded down: a team with few requests on this VM holds nothing here.
  return static_cast<std::uint32_t>(DemandOf(aTeam, aNow) * kAdvanceTime.count());
}

bool QuotaClient::IsAlone(base::MonotonicTime aNow) const
{
  return m_knownVms > 0 && aNow >= m_committedUntil && aNow - m_started >= CommitmentTime();
}

bool QuotaClient::TakeReserve(Team& aTeam, base::MonotonicTime aNow)
{
  if (!IsAlone(aNow)) {
    return false;
  }
  const double share = kQuotaReserve / m_knownVms;
  const auto since =
    std::max({ aTeam.m_reserveAt, m_committedUntil, m_started + CommitmentTime() });
  const std::chrono::duration<double> elapsed = aNow - since;
  const double level = (aTeam.m_reserveAt >= m_committedUntil ? aTeam.m_reserve : 0) +
                       std::max(elapsed.count(), 0.0) * aTeam.m_quota.m_ratePerSecond * share;
  aTeam.m_reserve = std::min(level, aTeam.m_quota.m_burst * share);
  aTeam.m_reserveAt = aNow;
  if (aTeam.m_reserve < 1) {
    return false;
  }
  aTeam.m_reserve -= 1;
  return true;
}

std::optional<QuotaClient::Credit> QuotaClient::TakeCredit(Team& aTeam, base::MonotonicTime aNow)
{
  DropExpired(aTeam, aNow);
  if (!aTeam.m_lots.empty()) {
    --aTeam.m_lots.front().m_credits;
    return Credit{ aTeam.m_quota.m_team, aTeam.m_lots.front().m_expiry, aTeam.m_reported };
  }
  if (TakeReserve(aTeam, aNow)) {
    return Credit{};
  }
  return std::nullopt;
}

QuotaClient::Admission QuotaClient::Decide(Team& aTeam, base::MonotonicTime aNow)
{
  if (auto credit = TakeCredit(aTeam, aNow)) {
    return { Decision::Admitted, milliseconds{ 0 }, std::move(*credit) };
  }
  if (aNow < aTeam.m_askAfter) {
    return { Decision::Rejected, std::chrono::ceil<milliseconds>(aTeam.m_askAfter - aNow), {} };
  }
  if (m_candidates.empty()) {
    return { Decision::Rejected, kUnknownRetry, {} };
  }
  return { Decision::Wait, milliseconds{ 0 }, {} };
}

QuotaClient::Admission QuotaClient::Admit(const std::string& aTeam, base::MonotonicTime aNow)
{
  const auto found = m_teams.find(aTeam);
  if (found == m_teams.end()) {
    return {};
  }
  Team& team = found->second;
  team.m_demand = DemandOf(team, aNow) * kDemandTime.count() + 1;
  team.m_demandAt = aNow;
  Admission admission = Decide(team, aNow);
  team.m_waiting += admission.m_decision == Decision::Wait ? 1 : 0;
  return admission;
}

QuotaClient::Admission QuotaClient::Retry(const std::string& aTeam, base::MonotonicTime aNow)
{
  const auto found = m_teams.find(aTeam);
  if (found == m_teams.end()) {
    return {};
  }
  Team& team = found->second;
  Admission admission = Decide(team, aNow);
  if (admission.m_decision != Decision::Wait) {
    team.m_waiting -= std::min(team.m_waiting, 1U);
  }
  return admission;
}

milliseconds QuotaClient::GiveUp(const std::string& aTeam)
{
  if (const auto found = m_teams.find(aTeam); found != m_teams.end()) {
    found->second.m_waiting -= std::min(found->second.m_waiting, 1U);
  }
  return kUnknownRetry;
}

void QuotaClient::Return(const Credit& aCredit, base::MonotonicTime aNow)
{
  const auto found = m_teams.find(aCredit.m_team);
  if (found == m_teams.end() || found->second.m_reported != aCredit.m_reported ||
      aNow >= aCredit.m_expiry) {
    return;
  }
  found->second.m_lots.push_front({ 1, aCredit.m_expiry });
}

bool QuotaClient::IsSuspect(const Candidate& aCandidate, base::MonotonicTime aNow) const
{
  const auto suspect = m_suspects.find(aCandidate.m_name);
  if (suspect == m_suspects.end()) {
    return false;
  }
  const bool wasHeard =
    aCandidate.m_lastHeard && *aCandidate.m_lastHeard > suspect->second + kBrokerTimeout;
  return !wasHeard || aNow - suspect->second < kSuspicionTime;
}

void QuotaClient::SetBroker(const std::string& aName)
{
  if (aName == m_broker) {
    return;
  }
  m_broker = aName;
  m_brokerInstance = 0;
  m_unansweredSince.reset();
  m_majorityAt.reset();
  m_isRedirected = false;
  m_hasNewBroker = true;
}

void QuotaClient::ChooseBroker(base::MonotonicTime aNow)
{
  const bool isSilent = m_unansweredSince && aNow - *m_unansweredSince >= kBrokerTimeout;
  if (isSilent) {
    m_suspects[m_broker] = aNow;
    m_unansweredSince.reset();
    m_majorityAt.reset();
  }
  if (!isSilent && !MajorityBroker(aNow).empty()) {
    return; // Another VM that is preferred would first have to gather a majority.
  }
  if (!isSilent && m_isRedirected && m_brokerInstance == 0) {
    return; // The VM has not answered yet.
  }
  const auto preferred = std::ranges::find_if(
    m_candidates, [&](const Candidate& aCandidate) { return !IsSuspect(aCandidate, aNow); });
  if (preferred != m_candidates.end()) {
    SetBroker(preferred->m_name);
  } else {
    SetBroker(m_candidates.empty() ? std::string{} : m_candidates.front().m_name);
  }
}

std::string QuotaClient::MajorityBroker(base::MonotonicTime aNow) const
{
  return m_majorityAt && aNow - *m_majorityAt < kMajorityMemory ? m_broker : std::string{};
}

bool QuotaClient::IsDue(base::MonotonicTime aNow)
{
  if (!m_sentAt || aNow - *m_sentAt >= ReportInterval()) {
    return true;
  }
  const auto since = aNow - *m_sentAt;
  if (since < kMinReportSpacing) {
    return false;
  }
  if (m_hasNewBroker) {
    return true;
  }
  // While an answer is under way, requests that came later wait for a second report, unless the
  // first one was probably lost.
  return std::ranges::any_of(m_teams, [&](auto& aEntry) {
    Team& team = aEntry.second;
    if (aNow < team.m_askAfter) {
      return false;
    }
    if (team.m_waiting > 0 && (team.m_reported <= m_lastGrant || since >= kRepeatSpacing)) {
      return true;
    }
    DropExpired(team, aNow);
    const std::uint32_t stock = StockOf(team, aNow);
    const std::uint32_t held = HeldOf(team);
    return since >= kAdvanceSpacing && (held < kLowStock * stock || held > SurplusLevel(stock));
  });
}

QuotaReport QuotaClient::MakeReport(const std::string& aTo, bool aIsProbe, base::MonotonicTime aNow)
{
  QuotaReport report;
  report.m_vm = m_name;
  report.m_instance = m_instance;
  report.m_number = ++m_number;
  report.m_lastGrant = m_lastGrant;
  report.m_knownVms = m_knownVms;
  m_sent[m_number] = { aNow, aTo, aIsProbe };
  if (aIsProbe) {
    return report;
  }
  report.m_brokerInstance = m_brokerInstance;
  report.m_echo = m_echo;
  const bool mayCommit = m_committedTo == aTo || aNow >= m_committedUntil;
  if (m_brokerInstance != 0 && mayCommit && m_knownVms > 0) {
    report.m_isNewProcess = aNow - m_started < CommitmentTime();
    report.m_commitment = CommitmentTime();
    m_committedTo = aTo;
    m_committedUntil = std::max(m_committedUntil, aNow + CommitmentTime());
  }
  return report;
}

std::uint32_t QuotaClient::TakeSurplus(Team& aTeam, std::uint32_t aStock, base::MonotonicTime aNow)
{
  DropExpired(aTeam, aNow);
  const std::uint32_t held = HeldOf(aTeam);
  if (aTeam.m_waiting > 0 || held <= SurplusLevel(aStock)) {
    return 0;
  }
  std::uint32_t surplus = held - aStock;
  for (Lot& lot : aTeam.m_lots) {
    const std::uint32_t taken = std::min(lot.m_credits, surplus);
    lot.m_credits -= taken;
    surplus -= taken;
  }
  DropExpired(aTeam, aNow);
  return held - aStock;
}

void QuotaClient::AddTeams(std::vector<Outgoing>& aReports, base::MonotonicTime aNow)
{
  std::size_t bytes = 0;
  for (auto& [name, team] : m_teams) {
    const std::uint32_t stock = StockOf(team, aNow);
    const std::uint32_t returned = TakeSurplus(team, stock, aNow);
    const std::uint32_t held = HeldOf(team);
    const std::uint32_t target = stock + team.m_waiting;
    const std::uint32_t wanted = aNow >= team.m_askAfter && target > held ? target - held : 0;
    if (wanted == 0 && held == team.m_reportedHeld) {
      continue;
    }
    bytes += name.size() + kTeamEntryBytes;
    if (bytes > kMaxTeamBytes) {
      bytes = name.size() + kTeamEntryBytes;
      aReports.push_back({ m_broker, MakeReport(m_broker, false, aNow) });
    }
    aReports.back().m_report.m_teams.push_back(
      { name, held, returned, wanted, std::min(team.m_waiting, wanted) });
    team.m_reported = m_number;
    team.m_reportedHeld = held;
  }
}

std::vector<QuotaClient::Outgoing> QuotaClient::TakeReports(base::MonotonicTime aNow)
{
  if (m_teams.empty() || m_candidates.empty()) {
    return {};
  }
  ChooseBroker(aNow);
  if (!IsDue(aNow)) {
    return {};
  }
  std::erase_if(m_sent, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.m_at >= kQuotaCreditLifetime;
  });
  std::vector<Outgoing> reports;
  reports.push_back({ m_broker, MakeReport(m_broker, false, aNow) });
  AddTeams(reports, aNow);
  const bool isProbeDue = !m_probedAt || aNow - *m_probedAt >= ReportInterval();
  if (MajorityBroker(aNow).empty() && isProbeDue) {
    m_probedAt = aNow;
    const std::string& other = m_candidates[m_nextProbe++ % m_candidates.size()].m_name;
    if (other != m_broker) {
      reports.push_back({ other, MakeReport(other, true, aNow) });
    }
  }
  m_sentAt = aNow;
  m_hasNewBroker = false;
  if (!m_unansweredSince) {
    m_unansweredSince = aNow;
  }
  return reports;
}

void QuotaClient::FollowRedirection(const std::string& aBroker, base::MonotonicTime aNow)
{
  const auto named = std::ranges::find(m_candidates, aBroker, &Candidate::m_name);
  const auto suspect = m_suspects.find(aBroker);
  if (named == m_candidates.end() || aBroker == m_broker ||
      (m_redirectedAt && aNow - *m_redirectedAt < kRedirectionPause) ||
      (suspect != m_suspects.end() && aNow - suspect->second < kRedirectionPause)) {
    return;
  }
  m_suspects.erase(aBroker);
  SetBroker(aBroker);
  m_isRedirected = true;
  m_redirectedAt = aNow;
}

void QuotaClient::AddCredits(const QuotaGrant& aGrant,
                             base::MonotonicTime aSentAt,
                             base::MonotonicTime aNow)
{
  const auto expiry = aSentAt + kQuotaCreditLifetime;
  for (const QuotaGrant::Team& entry : aGrant.m_teams) {
    const auto found = m_teams.find(entry.m_team);
    if (found == m_teams.end()) {
      continue;
    }
    Team& team = found->second;
    if (entry.m_credits > 0 && aNow < expiry) {
      team.m_lots.push_back({ entry.m_credits, expiry });
      team.m_reportedHeld += entry.m_credits;
    }
    if (entry.m_retryAfter.count() > 0) {
      team.m_askAfter = aNow + std::min(entry.m_retryAfter, kMaxRetry);
    }
  }
}

bool QuotaClient::OnGrant(const QuotaGrant& aGrant, base::MonotonicTime aNow)
{
  const auto found = m_sent.find(aGrant.m_number);
  if (aGrant.m_vmInstance != m_instance || found == m_sent.end()) {
    return false;
  }
  const Sent sent = found->second;
  if (sent.m_isProbe) {
    m_sent.erase(found);
    if (MajorityBroker(aNow).empty()) {
      FollowRedirection(aGrant.m_hasMajority ? sent.m_to : aGrant.m_redirect, aNow);
    }
    return true;
  }
  // Grants of earlier reports count as lost, also for the broker.
  m_sent.erase(m_sent.begin(), std::next(found));
  m_lastGrant = aGrant.m_number;
  if (sent.m_to == m_broker) {
    m_brokerInstance = aGrant.m_brokerInstance;
    m_echo = aGrant.m_stamp;
    m_unansweredSince.reset();
    m_majorityAt = aGrant.m_hasMajority ? std::optional{ aNow } : std::nullopt;
  }
  AddCredits(aGrant, sent.m_at, aNow);
  if (sent.m_to == m_broker && !aGrant.m_hasMajority) {
    FollowRedirection(aGrant.m_redirect, aNow);
  }
  return true;
}

} // namespace jaylane::policy
