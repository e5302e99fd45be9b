#pragma once

#include "GatewayMetrics.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/policy/Fleet.h"
#include "jaylane/policy/QuotaClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jaylane::gateway {

/// Admits requests by the quotas of their teams, and holds those that wait for the quota broker.
/// Used by the request thread only.
class QuotaGate
{
public:
  using Admission = policy::QuotaClient::Admission;
  /// Called with the decision on a request that has waited: Admitted or Rejected.
  using OnDecided = std::function<void(const Admission&)>;
  /// Sends reports, see QuotaLink::Send().
  using Send = std::function<void(std::vector<policy::QuotaClient::Outgoing> aReports,
                                  const std::string& aMajorityBroker)>;

  struct Result
  {
    Admission m_admission;
    /// Names the request for Cancel() while it waits.
    std::uint64_t m_waiter = 0;
  };

  /// @param aName name of this VM.
  /// @param aInstance differs between processes of this VM.
  QuotaGate(boost::asio::io_context& aIo,
            std::string aName,
            std::uint32_t aInstance,
            const base::Clock& aClock,
            base::AsyncLog& aLog,
            GatewayMetrics& aMetrics,
            Send aSend);

  /// Sets the quotas of a configuration.
  /// @return the quotas if they differ from the last ones; otherwise nothing.
  std::optional<std::vector<policy::TeamQuota>> SetConfiguration(
    const policy::Configuration& aConfiguration);
  /// See policy::QuotaClient::SetFleet().
  void SetFleet(std::vector<policy::QuotaClient::Candidate> aCandidates, std::uint32_t aKnownVms);
  void OnGrant(const policy::QuotaGrant& aGrant);

  /// @param aOnDecided called later if the result is to wait, unless Cancel() is called before.
  Result Admit(const std::string& aTeam, OnDecided aOnDecided);
  /// The request no longer waits.
  void Cancel(std::uint64_t aWaiter);
  /// The request has not run and will not.
  void Return(const policy::QuotaClient::Credit& aCredit);

private:
  struct Waiter
  {
    std::string m_team;
    base::MonotonicTime m_until;
    OnDecided m_onDecided;
  };

  void Count(const Admission& aAdmission);
  /// Decides on the waiting requests that can be, in the order of their arrival.
  void DecideWaiting();
  void SendReports();
  void LogChanges();
  void Tick();

  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  GatewayMetrics& m_metrics;
  Send m_send;
  policy::QuotaClient m_client;
  std::vector<policy::TeamQuota> m_quotas;
  std::map<std::uint64_t, Waiter> m_waiters;
  std::uint64_t m_lastWaiter = 0;
  boost::asio::steady_timer m_timer;
  bool m_isTicking = false;
  std::string m_loggedBroker;
  std::string m_loggedState;
};

} // namespace jaylane::gateway
