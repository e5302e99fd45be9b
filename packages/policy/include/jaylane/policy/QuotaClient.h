#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/QuotaMessages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// A VM's side of the quotas: admits requests by the credits that it got from the quota broker, and
/// decides which broker to ask, when and for what. Load pattern: see QuotaBroker; in addition VMs
/// are killed, restarted and cut off from each other.
///
/// A committed VM gives its part of all quotas to one broker. A VM that is committed to none may
/// use a reserve of its own part, so that some requests are served while it is cut off. Not thread
/// safe.
class QuotaClient
{
public:
  enum class Decision
  {
    Admitted,
    /// The broker is asked. To be decided by Retry() after the next grant, or given up.
    Wait,
    Rejected,
  };

  /// What a request was admitted by.
  struct Credit
  {
    /// Empty if the request needs no credit, or the credit cannot be returned.
    std::string m_team;
    base::MonotonicTime m_expiry;
    /// Last report that named the team.
    std::uint32_t m_reported = 0;
  };

  struct Admission
  {
    Decision m_decision = Decision::Admitted;
    /// Time until the team's next credit is expected here, of a rejected request.
    std::chrono::milliseconds m_retryAfter{ 0 };
    Credit m_credit;
  };

  /// A VM that may be the broker.
  struct Candidate
  {
    std::string m_name;
    /// When it last announced that it runs; empty if it has not been heard.
    std::optional<base::MonotonicTime> m_lastHeard;
  };

  /// A report to send.
  struct Outgoing
  {
    /// Name of the VM that it goes to; may be this VM.
    std::string m_to;
    QuotaReport m_report;
  };

  /// Longest time for which a request waits for the broker's answer.
  static constexpr std::chrono::milliseconds kMaxWait{ 150 };
  /// Bytes of the teams in one report as text, so that it fits into a datagram of 1,200 bytes.
  static constexpr std::size_t kMaxTeamBytes = 1000;

  /// @param aName name of this VM.
  /// @param aInstance differs between processes of this VM.
  /// @param aNow start of the process. It uses no reserve, and commits itself only to brokers that
  ///   have just started as well, until the commitment of an earlier process has ended.
  QuotaClient(std::string aName, std::uint32_t aInstance, base::MonotonicTime aNow);

  /// @param aQuotas quotas in force; requests of other teams are admitted.
  void SetQuotas(const std::vector<TeamQuota>& aQuotas, base::MonotonicTime aNow);

  /// @param aCandidates VMs that may be the broker, the preferred one first.
  /// @param aKnownVms number of known VMs, running or not, this one included; 0 if they are not
  ///   known yet.
  void SetFleet(std::vector<Candidate> aCandidates, std::uint32_t aKnownVms);

  /// Decides on a new request.
  Admission Admit(const std::string& aTeam, base::MonotonicTime aNow);
  /// Decides again on a request for which the last decision was to wait.
  Admission Retry(const std::string& aTeam, base::MonotonicTime aNow);
  /// A request no longer waits, without having been decided.
  /// @return when its caller should try again.
  std::chrono::milliseconds GiveUp(const std::string& aTeam);
  /// Takes back the credit of a request that has not run. It is lost if the broker may have been
  /// told that it was used, or if it has expired.
  void Return(const Credit& aCredit, base::MonotonicTime aNow);

  /// @return reports that are due, each once. To be called after Wait, and several times a second.
  std::vector<Outgoing> TakeReports(base::MonotonicTime aNow);

  /// @return whether the grant answers a report of this process and was accepted.
  bool OnGrant(const QuotaGrant& aGrant, base::MonotonicTime aNow);

  /// @return whether any quota is configured; otherwise no reports are sent.
  bool HasQuotas() const { return !m_teams.empty(); }
  /// @return the broker if it has a majority and answers; otherwise an empty name.
  std::string MajorityBroker(base::MonotonicTime aNow) const;
  /// @return the broker that is asked; empty if there is none.
  const std::string& Broker() const { return m_broker; }
  /// @return whether this VM uses the reserve of its own part because it has no broker.
  bool IsAlone(base::MonotonicTime aNow) const;
  /// @return credits held, of all teams.
  std::uint32_t HeldCredits() const;

private:
  struct Lot
  {
    std::uint32_t m_credits = 0;
    base::MonotonicTime m_expiry;
  };
  struct Team
  {
    TeamQuota m_quota;
    /// Oldest first.
    std::deque<Lot> m_lots;
    std::uint32_t m_waiting = 0;
    /// The team is not asked for before.
    base::MonotonicTime m_askAfter;
    /// Number of recent requests, decaying exponentially.
    double m_demand = 0;
    base::MonotonicTime m_demandAt;
    /// Bucket of the reserve, used while the VM is alone.
    double m_reserve = 0;
    base::MonotonicTime m_reserveAt;
    std::uint32_t m_reported = 0;
    std::uint32_t m_reportedHeld = 0;
  };
  struct Sent
  {
    base::MonotonicTime m_at;
    std::string m_to;
    /// Only asks for the broker that has a majority.
    bool m_isProbe = false;
  };

  std::chrono::milliseconds ReportInterval() const { return QuotaReportInterval(m_knownVms); }
  std::chrono::milliseconds CommitmentTime() const { return QuotaCommitmentTime(m_knownVms); }
  /// @return requests per second of the last second.
  double DemandOf(const Team& aTeam, base::MonotonicTime aNow) const;
  static std::uint32_t HeldOf(const Team& aTeam);
  static void DropExpired(Team& aTeam, base::MonotonicTime aNow);
  /// @return credits that the team should hold in advance of its requests.
  std::uint32_t StockOf(const Team& aTeam, base::MonotonicTime aNow) const;
  std::optional<Credit> TakeCredit(Team& aTeam, base::MonotonicTime aNow);
  bool TakeReserve(Team& aTeam, base::MonotonicTime aNow);
  Admission Decide(Team& aTeam, base::MonotonicTime aNow);
  bool IsSuspect(const Candidate& aCandidate, base::MonotonicTime aNow) const;
  void ChooseBroker(base::MonotonicTime aNow);
  void SetBroker(const std::string& aName);
  /// Turns to the broker that the VM asked has named, which is the one that others are committed
  /// to.
  void FollowRedirection(const std::string& aBroker, base::MonotonicTime aNow);
  bool IsDue(base::MonotonicTime aNow);
  QuotaReport MakeReport(const std::string& aTo, bool aIsProbe, base::MonotonicTime aNow);
  /// Adds the state and the wishes of the teams to the reports, and to further ones if needed.
  void AddTeams(std::vector<Outgoing>& aReports, base::MonotonicTime aNow);
  /// Removes credits beyond the stock, so that other VMs get them.
  /// @return how many.
  static std::uint32_t TakeSurplus(Team& aTeam, std::uint32_t aStock, base::MonotonicTime aNow);
  void AddCredits(const QuotaGrant& aGrant, base::MonotonicTime aSentAt, base::MonotonicTime aNow);

  std::string m_name;
  std::uint32_t m_instance;
  base::MonotonicTime m_started;
  std::map<std::string, Team> m_teams;
  std::vector<Candidate> m_candidates;
  std::uint32_t m_knownVms = 0;
  std::string m_broker;
  /// Whether the broker has not been asked yet.
  bool m_hasNewBroker = false;
  /// Whether another VM named the broker.
  bool m_isRedirected = false;
  std::optional<base::MonotonicTime> m_redirectedAt;
  /// When VMs that did not answer were given up.
  std::map<std::string, base::MonotonicTime> m_suspects;
  /// First report since the last answer.
  std::optional<base::MonotonicTime> m_unansweredSince;
  std::optional<base::MonotonicTime> m_sentAt;
  std::optional<base::MonotonicTime> m_probedAt;
  std::size_t m_nextProbe = 0;
  /// Reports that may still be answered, by number.
  std::map<std::uint32_t, Sent> m_sent;
  std::uint32_t m_number = 0;
  std::uint32_t m_lastGrant = 0;
  /// Process of the broker that answered last, and the time stamp of its answer; 0 if none has.
  std::uint32_t m_brokerInstance = 0;
  std::chrono::milliseconds m_echo{ 0 };
  std::optional<base::MonotonicTime> m_majorityAt;
  std::string m_committedTo;
  base::MonotonicTime m_committedUntil;
};

} // namespace jaylane::policy
