#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaylane::policy {

/// Quota of a team, for all VMs together.
struct TeamQuota
{
  std::string m_team;
  /// Requests per second.
  double m_ratePerSecond = 0;
  /// Requests that may be admitted at once in addition to the rate. Less than 1 counts as 1, since
  /// otherwise no request could be admitted at all.
  double m_burst = 1;

  bool operator==(const TeamQuota&) const = default;
};

/// Message of a VM to its quota broker.
struct QuotaReport
{
  struct Team
  {
    std::string m_team;
    /// Credits that the VM still holds.
    std::uint32_t m_held = 0;
    /// Credits that the VM gives back unused with this report.
    std::uint32_t m_returned = 0;
    /// Credits that it asks for.
    std::uint32_t m_wanted = 0;
    /// How many of them requests are waiting for.
    std::uint32_t m_waiting = 0;
  };

  std::string m_vm;
  /// Differs between processes of the VM.
  std::uint32_t m_instance = 0;
  /// Rises with each report of the process.
  std::uint32_t m_number = 0;
  /// Number of the last report whose grant the VM has accepted.
  std::uint32_t m_lastGrant = 0;
  /// VMs that the sender knows, running or not, itself included; 0 if it does not know them.
  std::uint32_t m_knownVms = 0;
  /// Time from sending for which the VM gives its part of the quotas to this broker alone; 0: it
  /// does not.
  std::chrono::milliseconds m_commitment{ 0 };
  /// Process of the broker whose time stamp m_echo is.
  std::uint32_t m_brokerInstance = 0;
  /// Time stamp of the last grant that arrived from the broker. It bounds the age of the report
  /// without a common clock.
  std::chrono::milliseconds m_echo{ 0 };
  /// Teams whose state has changed or that need credit. Others are as reported before.
  std::vector<Team> m_teams;
  /// Whether the process may be younger than a commitment of an earlier process of the VM. The
  /// commitment then counts only at brokers that have just started, too.
  bool m_isNewProcess = false;
};

/// Answer of a quota broker to one report.
struct QuotaGrant
{
  struct Team
  {
    std::string m_team;
    std::uint32_t m_credits = 0;
    /// Time for which the VM should not ask again; above 0 if the quota is nearly used up.
    std::chrono::milliseconds m_retryAfter{ 0 };
  };

  std::uint32_t m_vmInstance = 0;
  /// Number of the report.
  std::uint32_t m_number = 0;
  std::uint32_t m_brokerInstance = 0;
  /// Time of the broker's clock.
  std::chrono::milliseconds m_stamp{ 0 };
  /// Whether more than half of the known VMs are committed to the broker.
  bool m_hasMajority = false;
  /// Broker with a majority that the sender knows if it has none itself; may be empty.
  std::string m_redirect;
  std::vector<Team> m_teams;
};

/// Time after sending the report for which credits of its grant may be used.
inline constexpr std::chrono::milliseconds kQuotaCreditLifetime{ 1200 };
/// Part of its weight in the quotas that a VM keeps for use while it is cut off. The rest of the
/// weight of VMs that are down is available to the others; with a third of them down, this leaves
/// 0.95 of the quotas.
inline constexpr double kQuotaReserve = 0.15;

/// @param aKnownVms number of known VMs.
/// @return time between two reports of a VM that needs no credit.
std::chrono::milliseconds QuotaReportInterval(std::uint32_t aKnownVms);
/// @return time for which a report commits its VM.
std::chrono::milliseconds QuotaCommitmentTime(std::uint32_t aKnownVms);

} // namespace jaylane::policy
