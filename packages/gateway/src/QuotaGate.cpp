#include "QuotaGate.h"

#include "jaylane/base/ContainErrors.h"

#include <utility>

namespace jaylane::gateway {

namespace {

using policy::QuotaClient;
using std::chrono::milliseconds;

/// Interval at which reports and waiting requests are looked at while there are quotas.
constexpr milliseconds kTickInterval{ 25 };

} // namespace

QuotaGate::QuotaGate(boost::asio::io_context& aIo,
                     std::string aName,
                     std::uint32_t aInstance,
                     const base::Clock& aClock,
                     base::AsyncLog& aLog,
                     GatewayMetrics& aMetrics,
                     Send aSend)
  : m_clock(aClock)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_send(std::move(aSend))
  , m_client(std::move(aName), aInstance, aClock.Monotonic())
  , m_timer(aIo)
{
}

std::optional<std::vector<policy::TeamQuota>> QuotaGate::SetConfiguration(
  const policy::Configuration& aConfiguration)
{
  std::vector<policy::TeamQuota> quotas;
  if (aConfiguration.m_teams) {
    for (const policy::Team& team : *aConfiguration.m_teams) {
      if (team.m_ratePerSecond > 0) {
        quotas.push_back({ team.m_name, team.m_ratePerSecond, team.m_burst });
      }
    }
  }
  if (quotas == m_quotas) {
    return std::nullopt;
  }
  m_quotas = quotas;
  m_client.SetQuotas(quotas, m_clock.Monotonic());
  DecideWaiting();
  if (m_client.HasQuotas() && !m_isTicking) {
    m_isTicking = true;
    Tick();
  }
  return quotas;
}

void QuotaGate::SetFleet(std::vector<QuotaClient::Candidate> aCandidates, std::uint32_t aKnownVms)
{
  m_client.SetFleet(std::move(aCandidates), aKnownVms);
}

void QuotaGate::OnGrant(const policy::QuotaGrant& aGrant)
{
  if (m_client.OnGrant(aGrant, m_clock.Monotonic())) {
    DecideWaiting();
    SendReports();
  }
}

void QuotaGate::Count(const Admission& aAdmission)
{
  const bool isAdmitted = aAdmission.m_decision == QuotaClient::Decision::Admitted;
  ++(isAdmitted ? m_metrics.m_quotaAdmitted : m_metrics.m_quotaRejected);
}

QuotaGate::Result QuotaGate::Admit(const std::string& aTeam, OnDecided aOnDecided)
{
  const base::MonotonicTime now = m_clock.Monotonic();
  Result result{ m_client.Admit(aTeam, now), 0 };
  if (result.m_admission.m_decision != QuotaClient::Decision::Wait) {
    Count(result.m_admission);
    return result;
  }
  ++m_metrics.m_quotaHeld;
  result.m_waiter = ++m_lastWaiter;
  // The last tick within the time gives the request up.
  m_waiters[result.m_waiter] = { aTeam,
                                 now + QuotaClient::kMaxWait - kTickInterval,
                                 std::move(aOnDecided) };
  SendReports();
  return result;
}

void QuotaGate::Cancel(std::uint64_t aWaiter)
{
  if (const auto waiter = m_waiters.find(aWaiter); waiter != m_waiters.end()) {
    m_client.GiveUp(waiter->second.m_team);
    m_waiters.erase(waiter);
  }
}

void QuotaGate::Return(const QuotaClient::Credit& aCredit)
{
  m_client.Return(aCredit, m_clock.Monotonic());
}

void QuotaGate::DecideWaiting()
{
  const base::MonotonicTime now = m_clock.Monotonic();
  std::vector<std::pair<OnDecided, Admission>> decided;
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    Admission admission = m_client.Retry(waiter->second.m_team, now);
    if (admission.m_decision == QuotaClient::Decision::Wait) {
      if (now < waiter->second.m_until) {
        ++waiter;
        continue;
      }
      admission = { QuotaClient::Decision::Rejected, m_client.GiveUp(waiter->second.m_team), {} };
    }
    Count(admission);
    decided.emplace_back(std::move(waiter->second.m_onDecided), std::move(admission));
    waiter = m_waiters.erase(waiter);
  }
  // Last, since a decision may end in further calls of this object.
  for (const auto& [onDecided, admission] : decided) {
    onDecided(admission);
  }
}

void QuotaGate::SendReports()
{
  const base::MonotonicTime now = m_clock.Monotonic();
  std::vector<QuotaClient::Outgoing> reports = m_client.TakeReports(now);
  if (!reports.empty()) {
    m_metrics.m_quotaReports += reports.size();
    m_send(std::move(reports), m_client.MajorityBroker(now));
  }
}

void QuotaGate::LogChanges()
{
  const base::MonotonicTime now = m_clock.Monotonic();
  const std::string state = !m_client.MajorityBroker(now).empty() ? "majority"
                            : m_client.IsAlone(now)               ? "alone"
                                                                  : "no_majority";
  if (m_client.Broker() != m_loggedBroker || state != m_loggedState) {
    m_loggedBroker = m_client.Broker();
    m_loggedState = state;
    m_log.Write(
      base::LogRecord("quota_broker").Add("broker", m_loggedBroker).Add("state", m_loggedState));
  }
}

void QuotaGate::Tick()
{
  base::ContainErrors(m_log, "quotas", [this] {
    DecideWaiting();
    SendReports();
    LogChanges();
    m_metrics.m_quotaCredits = m_client.HeldCredits();
  });
  m_isTicking = m_client.HasQuotas();
  if (!m_isTicking) {
    return;
  }
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

} // namespace jaylane::gateway
