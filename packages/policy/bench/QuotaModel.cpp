#include "QuotaModel.h"

#include <algorithm>
#include <utility>

namespace jaylane::policy::sim {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStep{ 5 };
constexpr double kStepSeconds = std::chrono::duration<double>(kStep).count();
/// Steps between two looks at which VMs run.
constexpr std::uint64_t kCandidateSteps = 40;
constexpr std::size_t kRegions = 3;
constexpr unsigned kLossDivisor = 100;
/// Sizes of messages of gateway::QuotaLink.
constexpr std::size_t kEnvelopeBytes = 125;
constexpr std::size_t kEntryBytes = 18;

std::string NameOf(std::size_t aVm)
{
  return "vm-" + std::to_string(aVm);
}

std::size_t VmOf(const std::string& aName)
{
  return static_cast<std::size_t>(std::stoi(aName.substr(3)));
}

} // namespace

QuotaFleet::QuotaFleet(std::size_t aVms,
                       std::vector<TeamQuota> aQuotas,
                       Demand aDemand,
                       unsigned aSeed)
  : m_quotas(std::move(aQuotas))
  , m_demand(std::move(aDemand))
  , m_random(aSeed)
  , m_vms(aVms)
  , m_bytes(aVms)
{
  for (std::size_t i = 0; i < aVms; ++i) {
    Start(i);
  }
  for (const TeamQuota& quota : m_quotas) {
    m_results[quota.m_team].m_level = quota.m_burst;
  }
}

double QuotaFleet::Seconds() const
{
  return std::chrono::duration<double>(m_clock.Monotonic() - m_started).count();
}

void QuotaFleet::RunFor(milliseconds aTime)
{
  for (auto elapsed = 0ms; elapsed < aTime; elapsed += kStep) {
    Step();
  }
}

void QuotaFleet::Measure()
{
  m_measuredFrom = Seconds();
  for (auto& [team, result] : m_results) {
    result.m_requests = result.m_admitted = 0;
  }
  m_bytes.assign(m_vms.size(), 0);
}

double QuotaFleet::Used(const TeamQuota& aQuota)
{
  return static_cast<double>(m_results[aQuota.m_team].m_admitted) /
         (aQuota.m_ratePerSecond * (Seconds() - m_measuredFrom));
}

std::vector<double> QuotaFleet::BytesPerSecond() const
{
  std::vector<double> rates;
  for (const std::size_t bytes : m_bytes) {
    rates.push_back(static_cast<double>(bytes) / (Seconds() - m_measuredFrom));
  }
  return rates;
}

void QuotaFleet::Start(std::size_t aVm)
{
  const auto instance = static_cast<std::uint32_t>(m_random() | 1U);
  const auto now = m_clock.Monotonic();
  m_vms[aVm] = { std::make_unique<QuotaClient>(NameOf(aVm), instance, now),
                 std::make_unique<QuotaBroker>(instance, now),
                 {} };
  Configure(aVm);
  SetCandidates(aVm);
}

void QuotaFleet::SetQuotas(std::vector<TeamQuota> aQuotas)
{
  m_quotas = std::move(aQuotas);
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    Configure(i);
  }
}

void QuotaFleet::Configure(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  if (vm.m_client) {
    const auto now = m_clock.Monotonic();
    vm.m_client->SetQuotas(m_quotas, now);
    vm.m_broker->SetQuotas(m_quotas, now);
    vm.m_broker->SetKnownVms(static_cast<std::uint32_t>(m_vms.size()), now);
  }
}

std::size_t QuotaFleet::SizeOf(const Message& aMessage)
{
  const auto teams = [](const auto& aContent) { return aContent.m_teams.size(); };
  return kEnvelopeBytes + kEntryBytes * std::visit(teams, aMessage.m_content);
}

void QuotaFleet::Send(Message aMessage)
{
  const auto now = m_clock.Monotonic();
  if (aMessage.m_from == aMessage.m_to) {
    m_messages.emplace(now, std::move(aMessage));
    return;
  }
  m_bytes[aMessage.m_from] += SizeOf(aMessage);
  const bool isLost = m_random() % kLossDivisor == 0;
  if (!isLost && m_partOf(aMessage.m_from) == m_partOf(aMessage.m_to)) {
    const bool isNear = aMessage.m_from % kRegions == aMessage.m_to % kRegions;
    m_messages.emplace(now + (isNear ? 1ms : 20ms), std::move(aMessage));
  }
}

void QuotaFleet::Deliver(const Message& aMessage)
{
  Vm& vm = m_vms[aMessage.m_to];
  const auto now = m_clock.Monotonic();
  if (!vm.m_client) {
    return;
  }
  if (const auto* report = std::get_if<QuotaReport>(&aMessage.m_content)) {
    vm.m_broker->SetRedirect(vm.m_client->MajorityBroker(now));
    Send({ aMessage.m_to, aMessage.m_from, vm.m_broker->OnReport(*report, now) });
  } else {
    vm.m_client->OnGrant(std::get<QuotaGrant>(aMessage.m_content), now);
    DecideWaiting(vm);
  }
}

void QuotaFleet::DecideWaiting(Vm& aVm)
{
  const auto now = m_clock.Monotonic();
  std::erase_if(aVm.m_waiting, [&](const Waiting& aWaiting) {
    const auto admission = aVm.m_client->Retry(aWaiting.m_team, now);
    if (admission.m_decision != QuotaClient::Decision::Wait) {
      Count(aWaiting.m_team, admission.m_decision);
      return true;
    }
    if (now < aWaiting.m_until) {
      return false;
    }
    aVm.m_client->GiveUp(aWaiting.m_team);
    return true;
  });
}

void QuotaFleet::Count(const std::string& aTeam, QuotaClient::Decision aDecision)
{
  if (aDecision == QuotaClient::Decision::Admitted) {
    Result& result = m_results[aTeam];
    ++result.m_admitted;
    result.m_level -= 1;
    result.m_excess = std::max(result.m_excess, -result.m_level);
  }
}

void QuotaFleet::Step()
{
  m_clock.Advance(kStep);
  ++m_steps;
  const auto now = m_clock.Monotonic();
  for (const TeamQuota& quota : m_quotas) {
    Result& result = m_results[quota.m_team];
    result.m_level = std::min(result.m_level + quota.m_ratePerSecond * kStepSeconds, quota.m_burst);
  }
  while (!m_messages.empty() && m_messages.begin()->first <= now) {
    const Message message = std::move(m_messages.begin()->second);
    m_messages.erase(m_messages.begin());
    Deliver(message);
  }
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    if (!m_vms[i].m_client) {
      continue;
    }
    SendRequests(i);
    DecideWaiting(m_vms[i]);
    if (m_steps % kCandidateSteps == 0) {
      SetCandidates(i);
    }
    for (const auto& outgoing : m_vms[i].m_client->TakeReports(now)) {
      Send({ i, VmOf(outgoing.m_to), outgoing.m_report });
    }
  }
}

void QuotaFleet::SendRequests(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  const auto now = m_clock.Monotonic();
  for (const TeamQuota& quota : m_quotas) {
    const double mean = m_demand(quota.m_team, aVm, Seconds()) * kStepSeconds;
    auto requests = mean > 0 ? std::poisson_distribution<int>{ mean }(m_random) : 0;
    for (; requests > 0; --requests) {
      ++m_results[quota.m_team].m_requests;
      const auto admission = vm.m_client->Admit(quota.m_team, now);
      Count(quota.m_team, admission.m_decision);
      if (admission.m_decision == QuotaClient::Decision::Wait) {
        vm.m_waiting.push_back({ quota.m_team, now + QuotaClient::kMaxWait });
      }
    }
  }
}

void QuotaFleet::SetCandidates(std::size_t aVm)
{
  std::vector<QuotaClient::Candidate> candidates;
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    const bool isHeard = m_vms[i].m_client && m_partOf(i) == m_partOf(aVm);
    candidates.push_back(
      { NameOf(i), isHeard ? std::optional{ m_clock.Monotonic() } : std::nullopt });
  }
  m_vms[aVm].m_client->SetFleet(std::move(candidates), static_cast<std::uint32_t>(m_vms.size()));
}

} // namespace jaylane::policy::sim
