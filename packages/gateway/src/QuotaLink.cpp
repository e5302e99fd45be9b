#include "QuotaLink.h"

#include "jaylane/base/JsonText.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jaylane::gateway {

namespace {

using std::chrono::milliseconds;

/// Bounds on numbers in messages of peers.
constexpr std::uint32_t kMaxKnownVms = 10'000;
constexpr std::uint32_t kMaxCredits = 1'000'000;
constexpr std::uint64_t kMaxCommitmentMs = 60'000;
constexpr std::uint64_t kMaxStampMs = 1ULL << 42;

constexpr const char* kReportMethod = "quota_report";
constexpr const char* kGrantMethod = "quota_grant";

/// Numbers of a report and of a grant, before their teams.
constexpr Json::ArrayIndex kReportNumbers = 8;
constexpr Json::ArrayIndex kGrantNumbers = 5;

std::string WriteMessage(const char* aMethod, Json::Value aParams)
{
  Json::Value message(Json::objectValue);
  message["jsonrpc"] = "2.0";
  message["method"] = aMethod;
  message["params"] = std::move(aParams);
  return base::WriteJson(message);
}

/// @return whether the elements from aFirst on are aCount numbers that are not negative.
bool AreNumbers(const Json::Value& aArray, Json::ArrayIndex aFirst, Json::ArrayIndex aCount)
{
  for (Json::ArrayIndex i = aFirst; i < aFirst + aCount; ++i) {
    if (!aArray[i].isUInt64()) {
      return false;
    }
  }
  return true;
}

std::uint32_t NumberAt(const Json::Value& aArray,
                       Json::ArrayIndex aIndex,
                       std::uint32_t aLimit = UINT32_MAX)
{
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(aArray[aIndex].asUInt64(), aLimit));
}

milliseconds TimeAt(const Json::Value& aArray, Json::ArrayIndex aIndex, std::uint64_t aLimitMs)
{
  return milliseconds{ static_cast<std::int64_t>(
    std::min<std::uint64_t>(aArray[aIndex].asUInt64(), aLimitMs)) };
}

/// @return whether the value is a list of teams, each with a name and aNumbers numbers.
bool AreTeams(const Json::Value& aTeams, Json::ArrayIndex aNumbers)
{
  return aTeams.isArray() && std::ranges::all_of(aTeams, [&](const Json::Value& aTeam) {
           return aTeam.isArray() && aTeam.size() == aNumbers + 1 && aTeam[0].isString() &&
                  AreNumbers(aTeam, 1, aNumbers);
         });
}

} // namespace

namespace detail {

// The parameters are arrays, because reports and grants are steady traffic.

std::string WriteQuotaMessage(const policy::QuotaReport& aReport)
{
  Json::Value params(Json::arrayValue);
  params.append(aReport.m_vm);
  params.append(aReport.m_instance);
  params.append(aReport.m_number);
  params.append(aReport.m_lastGrant);
  params.append(aReport.m_knownVms);
  params.append(Json::UInt64(aReport.m_commitment.count()));
  params.append(aReport.m_brokerInstance);
  params.append(Json::UInt64(aReport.m_echo.count()));
  params.append(aReport.m_isNewProcess ? 1U : 0U);
  Json::Value teams(Json::arrayValue);
  for (const policy::QuotaReport::Team& team : aReport.m_teams) {
    Json::Value entry(Json::arrayValue);
    entry.append(team.m_team);
    entry.append(team.m_held);
    entry.append(team.m_returned);
    entry.append(team.m_wanted);
    entry.append(team.m_waiting);
    teams.append(std::move(entry));
  }
  params.append(std::move(teams));
  return WriteMessage(kReportMethod, std::move(params));
}

std::string WriteQuotaMessage(const policy::QuotaGrant& aGrant)
{
  Json::Value params(Json::arrayValue);
  params.append(aGrant.m_vmInstance);
  params.append(aGrant.m_number);
  params.append(aGrant.m_brokerInstance);
  params.append(Json::UInt64(aGrant.m_stamp.count()));
  params.append(aGrant.m_hasMajority ? 1U : 0U);
  params.append(aGrant.m_redirect);
  Json::Value teams(Json::arrayValue);
  for (const policy::QuotaGrant::Team& team : aGrant.m_teams) {
    Json::Value entry(Json::arrayValue);
    entry.append(team.m_team);
    entry.append(team.m_credits);
    entry.append(Json::UInt64(team.m_retryAfter.count()));
    teams.append(std::move(entry));
  }
  params.append(std::move(teams));
  return WriteMessage(kGrantMethod, std::move(params));
}

std::optional<policy::QuotaReport> ReadQuotaReport(const Json::Value& aParams)
{
  if (!aParams.isArray() || aParams.size() != kReportNumbers + 2 || !aParams[0].isString() ||
      !AreNumbers(aParams, 1, kReportNumbers) || !AreTeams(aParams[kReportNumbers + 1], 4)) {
    return std::nullopt;
  }
  policy::QuotaReport report;
  report.m_vm = aParams[0].asString();
  report.m_instance = NumberAt(aParams, 1);
  report.m_number = NumberAt(aParams, 2);
  report.m_lastGrant = NumberAt(aParams, 3);
  report.m_knownVms = NumberAt(aParams, 4, kMaxKnownVms);
  report.m_commitment = TimeAt(aParams, 5, kMaxCommitmentMs);
  report.m_brokerInstance = NumberAt(aParams, 6);
  report.m_echo = TimeAt(aParams, 7, kMaxStampMs);
  report.m_isNewProcess = aParams[8].asUInt64() != 0;
  for (const Json::Value& entry : aParams[kReportNumbers + 1]) {
    report.m_teams.push_back({ entry[0].asString(),
                               NumberAt(entry, 1, kMaxCredits),
                               NumberAt(entry, 2, kMaxCredits),
                               NumberAt(entry, 3, kMaxCredits),
                               NumberAt(entry, 4, kMaxCredits) });
  }
  return report;
}

std::optional<policy::QuotaGrant> ReadQuotaGrant(const Json::Value& aParams)
{
  if (!aParams.isArray() || aParams.size() != kGrantNumbers + 2 ||
      !AreNumbers(aParams, 0, kGrantNumbers) || !aParams[kGrantNumbers].isString() ||
      !AreTeams(aParams[kGrantNumbers + 1], 2)) {
    return std::nullopt;
  }
  policy::QuotaGrant grant;
  grant.m_vmInstance = NumberAt(aParams, 0);
  grant.m_number = NumberAt(aParams, 1);
  grant.m_brokerInstance = NumberAt(aParams, 2);
  grant.m_stamp = TimeAt(aParams, 3, kMaxStampMs);
  grant.m_hasMajority = aParams[4].asUInt64() != 0;
  grant.m_redirect = aParams[kGrantNumbers].asString();
  for (const Json::Value& entry : aParams[kGrantNumbers + 1]) {
    grant.m_teams.push_back(
      { entry[0].asString(), NumberAt(entry, 1, kMaxCredits), TimeAt(entry, 2, kMaxCommitmentMs) });
  }
  return grant;
}

} // namespace detail

QuotaLink::QuotaLink(std::string aName,
                     std::uint32_t aInstance,
                     const base::Clock& aClock,
                     base::AsyncLog& aLog,
                     Hooks aHooks)
  : m_name(std::move(aName))
  , m_clock(aClock)
  , m_log(aLog)
  , m_hooks(std::move(aHooks))
  , m_broker(aInstance, aClock.Monotonic())
{
}

void QuotaLink::SetQuotas(const std::vector<policy::TeamQuota>& aQuotas)
{
  m_hasQuotas = !aQuotas.empty();
  m_broker.SetQuotas(aQuotas, m_clock.Monotonic());
}

void QuotaLink::SetKnownVms(std::uint32_t aKnownVms)
{
  m_broker.SetKnownVms(aKnownVms, m_clock.Monotonic());
}

policy::QuotaGrant QuotaLink::Answer(const policy::QuotaReport& aReport)
{
  const base::MonotonicTime now = m_clock.Monotonic();
  policy::QuotaGrant grant = m_broker.OnReport(aReport, now);
  m_grantedShare = m_broker.GrantedShare(now);
  if (grant.m_hasMajority != m_hasMajority) {
    m_hasMajority = grant.m_hasMajority;
    m_log.Write(base::LogRecord("quota_majority")
                  .Add("state", m_hasMajority ? "gained" : "lost")
                  .Add("granted_share", fmt::format("{:.3f}", m_grantedShare.load())));
  }
  return grant;
}

void QuotaLink::Send(const std::vector<policy::QuotaClient::Outgoing>& aReports,
                     const std::string& aMajorityBroker)
{
  m_broker.SetRedirect(aMajorityBroker);
  for (const policy::QuotaClient::Outgoing& outgoing : aReports) {
    if (outgoing.m_to == m_name) {
      m_hooks.m_onGrant(Answer(outgoing.m_report));
    } else {
      m_hooks.m_send(outgoing.m_to, detail::WriteQuotaMessage(outgoing.m_report));
    }
  }
}

bool QuotaLink::OnMessage(const std::string& aMethod,
                          const Json::Value& aParams,
                          const Reply& aReply)
{
  if (aMethod == kGrantMethod) {
    if (const auto grant = detail::ReadQuotaGrant(aParams)) {
      m_hooks.m_onGrant(*grant);
    }
    return true;
  }
  if (aMethod != kReportMethod) {
    return false;
  }
  const auto report = detail::ReadQuotaReport(aParams);
  if (report && m_hasQuotas) {
    ++m_sentGrants;
    aReply(detail::WriteQuotaMessage(Answer(*report)));
  }
  return true;
}

} // namespace jaylane::gateway
