#pragma once

#include "ClaimQueue.h"
#include "Directory.h"
#include "FailoverLimiters.h"
#include "LinkRateLimiter.h"
#include "LoadMeter.h"
#include "ParsedRequest.h"
#include "RequestMetrics.h"
#include "RequestQuarantine.h"
#include "ServiceDispatcher.h"
#include "SteeringState.h"
#include "SynchronizedExecutionLedger.h"
#include "jaylane/proxy/UpstreamTransport.h"

#include <functional>
#include <memory>
#include <optional>

namespace jaylane::entry {

/// Takes a request through its checks to an upstream of this zone or to the VM that has to
/// serve it, and answers with one of the three outcomes. Thread safe.
class RequestRouter
{
public:
  /// The parts that a request passes; all must outlive the router.
  struct Dependencies
  {
    const ConfigState& m_config;
    const Directory& m_directory;
    const SteeringState& m_steering;
    SynchronizedExecutionLedger& m_ledger;
    ClaimQueue& m_claims;
    RequestQuarantine& m_quarantine;
    FailoverLimiters& m_failoverLimiters;
    LoadMeter& m_loadMeter;
    LinkRateLimiter& m_linkLimiter;
    RequestMetrics& m_metrics;
    proxy::UpstreamTransport& m_transport;
    /// @return the dispatcher of a service in this zone, or nullptr.
    std::function<std::shared_ptr<ServiceDispatcher>(const std::string&)> m_findDispatcher;
    /// @return incarnation of the VM that took over the scopes of another; empty if unknown.
    std::function<std::string(const std::string&)> m_successorOf;
  };

  RequestRouter(const VmContext& aContext, Dependencies aDependencies);

  /// Takes over a request; the exchange gets a response in any case.
  void Handle(std::shared_ptr<proxy::Exchange> aExchange);

private:
  using Done = std::function<void(const RequestResult&)>;
  struct Request
  {
    std::shared_ptr<proxy::Exchange> m_exchange;
    ParsedRequest m_parsed;
  };
  using RequestPtr = std::shared_ptr<const Request>;

  /// Ends a request whose key was not looked up yet. An earlier copy of it may have run, also at
  /// a VM that is gone, so that only the owner of the key's scope may say that it did not.
  void Refuse(const proxy::Exchange& aExchange, const RequestResult& aRefusal, const Done& aDone);
  void Admit(const RequestPtr& aRequest, Done aDone);
  void AdmitScoped(const RequestPtr& aRequest, const policy::ExecutionKey& aKey, Done aDone);
  void AdmitClaimed(const RequestPtr& aRequest, const policy::ClaimKey& aKey, Done aDone);
  void Execute(const RequestPtr& aRequest, Done aDone);
  void ExecuteElsewhere(const RequestPtr& aRequest, const policy::SiteId& aSite, Done aDone);
  void ExecuteHere(const RequestPtr& aRequest, Done aDone);
  void FailOver(const RequestPtr& aRequest, Done aDone);
  void Forward(const RequestPtr& aRequest, const EntryVmRef& aVm, bool aKeepKey, Done aDone);
  void ForwardToScope(const RequestPtr& aRequest, const policy::ExecutionKey& aKey, Done aDone);
  std::optional<EntryVmRef> PickVm(const policy::SiteId& aSite) const;
  bool IsLegal(const ParsedRequest& aRequest, const std::string& aRegion) const;
  bool MayTransit(const ParsedRequest& aRequest) const;
  void Respond(proxy::Exchange& aExchange, const RequestResult& aResult) const;

  const VmContext& m_context;
  const Dependencies m_deps;
};

} // namespace jaylane::entry
