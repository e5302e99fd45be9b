#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/QuotaMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::policy {

/// Hands out the credits of the teams' quotas to the VMs that ask for them. Load pattern: the
/// demand of a team moves between VMs within seconds, many teams have fewer requests per second
/// than there are VMs, and one team suddenly sends several times its usual rate.
///
/// Each team has one token bucket, here. A credit that was handed out takes room in the bucket
/// until the VM reports that it is used, or it has expired, so that the credits at all places
/// together never exceed the burst. While the VMs are divided there may be several brokers; the
/// VMs' commitments divide the quotas among them (see GrantedShare()). Not thread safe.
class QuotaBroker
{
public:
  /// @param aInstance differs between processes of this VM.
  /// @param aNow start of the process. Its buckets are empty then: what an earlier process granted
  ///   and what this one grants stay within the rate and one burst together.
  QuotaBroker(std::uint32_t aInstance, base::MonotonicTime aNow);

  /// Changes the quotas; a lower one applies to the next grant.
  void SetQuotas(const std::vector<TeamQuota>& aQuotas, base::MonotonicTime aNow);

  /// @param aKnownVms number of known VMs, running or not, this one included; 0 if they are not
  ///   known yet, in which case nothing is granted.
  void SetKnownVms(std::uint32_t aKnownVms, base::MonotonicTime aNow);

  /// @param aBroker broker with a majority that this VM itself uses; empty if there is none.
  void SetRedirect(std::string aBroker) { m_redirect = std::move(aBroker); }

  /// @return the answer to a report; without credits if the report is older than another one of its
  ///   VM.
  QuotaGrant OnReport(const QuotaReport& aReport, base::MonotonicTime aNow);

  /// @return part of each quota that may be granted now. With commitments of more than half of the
  ///   known VMs it is all but the reserve of the others; otherwise it is the reserve of the
  ///   committed ones.
  double GrantedShare(base::MonotonicTime aNow) const;

private:
  /// Credits of one grant.
  struct Lot
  {
    std::uint32_t m_number = 0;
    std::uint32_t m_credits = 0;
    base::MonotonicTime m_expiry;
  };
  struct Vm
  {
    std::uint32_t m_instance = 0;
    std::uint32_t m_lastNumber = 0;
    std::uint32_t m_knownVms = 0;
    base::MonotonicTime m_committedUntil;
    base::MonotonicTime m_lastHeard;
  };
  struct Team
  {
    TeamQuota m_quota;
    double m_level = 0;
    /// Value of m_shareSeconds at the last refill.
    double m_refilledAt = 0;
    /// Credits that may be unused, by VM and its process.
    std::map<std::pair<std::string, std::uint32_t>, std::vector<Lot>> m_lots;
  };

  struct Commitments
  {
    std::uint32_t m_committed = 0;
    std::uint32_t m_known = 0;

    bool IsMajority() const { return 2 * m_committed > m_known; }
  };
  Commitments CountCommitments(base::MonotonicTime aNow) const;
  /// Adds the time since the last call to m_shareSeconds, and updates m_share.
  void Advance(base::MonotonicTime aNow);
  /// Refills the bucket, and limits it to the room that handed out credits leave.
  void Refill(Team& aTeam, base::MonotonicTime aNow);
  double Capacity(const Team& aTeam) const;
  /// @return whether the report is newer than all others of its VM.
  bool UpdateVm(const QuotaReport& aReport, base::MonotonicTime aNow);
  QuotaGrant::Team Grant(const QuotaReport& aReport,
                         const QuotaReport::Team& aRequest,
                         base::MonotonicTime aNow);

  std::uint32_t m_instance;
  base::MonotonicTime m_started;
  std::uint32_t m_knownVms = 0;
  std::map<std::string, Vm> m_vms;
  std::map<std::string, Team> m_teams;
  /// Integral of the granted share over time, in seconds.
  double m_shareSeconds = 0;
  double m_share = 0;
  std::string m_redirect;
  base::MonotonicTime m_advancedAt;
};

} // namespace jaylane::policy
