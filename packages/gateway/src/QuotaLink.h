#pragma once

#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/policy/QuotaBroker.h"
#include "jaylane/policy/QuotaClient.h"

#include <atomic>
#include <functional>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::gateway {

/// Carries the messages of the quotas between VMs, and answers reports as a broker. Reports and
/// grants are JSON-RPC notifications of the methods quota_report and quota_grant, sent through
/// PeerLink. Used by the control thread only.
class QuotaLink
{
public:
  struct Hooks
  {
    /// Sends a datagram to the VM of a name, if it is known.
    std::function<void(const std::string& aVm, const std::string& aText)> m_send;
    /// Receives a grant for this VM.
    std::function<void(const policy::QuotaGrant&)> m_onGrant;
  };
  /// Sends a datagram to the sender of a message.
  using Reply = std::function<void(const std::string& aText)>;

  /// @param aName name of this VM.
  /// @param aInstance differs between processes of this VM.
  QuotaLink(std::string aName,
            std::uint32_t aInstance,
            const base::Clock& aClock,
            base::AsyncLog& aLog,
            Hooks aHooks);

  /// Without quotas, reports of other VMs are not answered.
  void SetQuotas(const std::vector<policy::TeamQuota>& aQuotas);
  /// @param aKnownVms see policy::QuotaBroker.
  void SetKnownVms(std::uint32_t aKnownVms);

  /// Sends reports of this VM. One to itself is answered at once.
  /// @param aMajorityBroker broker with a majority that this VM uses; empty if there is none.
  void Send(const std::vector<policy::QuotaClient::Outgoing>& aReports,
            const std::string& aMajorityBroker);

  /// Handles a message of another VM; malformed ones are ignored.
  /// @return whether the method is one of the quotas.
  bool OnMessage(const std::string& aMethod, const Json::Value& aParams, const Reply& aReply);

  /// @return part of the quotas that this VM grants as a broker. May be called on any thread.
  double GrantedShare() const { return m_grantedShare; }
  /// @return number of grants sent to other VMs. May be called on any thread.
  std::uint64_t SentGrants() const { return m_sentGrants; }

private:
  policy::QuotaGrant Answer(const policy::QuotaReport& aReport);

  std::string m_name;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  Hooks m_hooks;
  policy::QuotaBroker m_broker;
  bool m_hasQuotas = false;
  bool m_hasMajority = false;
  std::atomic<double> m_grantedShare{ 0 };
  std::atomic<std::uint64_t> m_sentGrants{ 0 };
};

namespace detail {

/// @return the datagram of a report or grant.
std::string WriteQuotaMessage(const policy::QuotaReport& aReport);
std::string WriteQuotaMessage(const policy::QuotaGrant& aGrant);

/// @return the message of JSON parameters; empty if they are malformed.
std::optional<policy::QuotaReport> ReadQuotaReport(const Json::Value& aParams);
std::optional<policy::QuotaGrant> ReadQuotaGrant(const Json::Value& aParams);

} // namespace detail

} // namespace jaylane::gateway
