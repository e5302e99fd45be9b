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

/// Checks a request, dispatches it to an upstream of this zone or forwards it to another entry VM,
/// and responds with its outcome. Thread safe.
class RequestRouter
{
public:
  /// All referenced objects must outlive the router.
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
    /// @return incarnation of the VM that took over the execution scopes of the given incarnation;
    ///   empty if unknown.
    std::function<std::string(const std::string&)> m_successorOf;
  };

  RequestRouter(const VmContext& aContext, Dependencies aDependencies);

  /// Processes a request asynchronously. The exchange gets a response in any case.
  void Handle(std::shared_ptr<proxy::Exchange> aExchange);

private:
  using Done = std::function<void(const RequestResult&)>;
  struct Request
  {
    std::shared_ptr<proxy::Exchange> m_exchange;
    ParsedRequest m_parsed;
  };
  using RequestPtr = std::shared_ptr<const Request>;

  /// Finishes a refused request whose key was not checked yet. An earlier copy may have run, even
  /// at a VM that is gone, so only the owner of the key's scope can report that it did not run.
  void Refuse(const proxy::Exchange& aExchange, const RequestResult& aRefusal, const Done& aDone);
  /// Executes the request unless its key shows that an earlier copy may have run.
  void Admit(const RequestPtr& aRequest, Done aDone);
  void AdmitScoped(const RequestPtr& aRequest, const policy::ExecutionKey& aKey, Done aDone);
  void AdmitClaimed(const RequestPtr& aRequest, const policy::ClaimKey& aKey, Done aDone);
  /// Executes the request at the site that the steering table assigns to the caller.
  void Execute(const RequestPtr& aRequest, Done aDone);
  void ExecuteElsewhere(const RequestPtr& aRequest, const policy::SiteId& aSite, Done aDone);
  /// @param aMoveElsewhere see DispatchJob.
  void ExecuteHere(const RequestPtr& aRequest,
                   Done aDone,
                   std::function<void()> aMoveElsewhere = nullptr);
  /// Executes the request here although the assigned site has no usable VM, within the failover
  /// cap.
  void FailOver(const RequestPtr& aRequest, Done aDone);
  /// @param aTargetChecksKey whether the other VM has to check the key.
  void Forward(const RequestPtr& aRequest,
               const EntryVmRef& aVm,
               bool aTargetChecksKey,
               Done aDone);
  /// Forwards the request to the VM that owns the scope of its key.
  void ForwardToScope(const RequestPtr& aRequest, const policy::ExecutionKey& aKey, Done aDone);
  /// @return another VM of this site that owns slots of the service, if this VM cannot get any.
  std::optional<EntryVmRef> PickPeerWithSlots(const std::string& aService) const;
  /// @param aFilter selects the VMs that may be picked; empty for all.
  /// @return another usable VM of the site, one that is ready if there is one.
  std::optional<EntryVmRef> PickVm(const policy::SiteId& aSite,
                                   const std::function<bool(const EntryVmRef&)>& aFilter) const;
  /// @return whether the legal rules allow the region to serve the request.
  bool IsLegal(const ParsedRequest& aRequest, const std::string& aRegion) const;
  /// @return whether the legal rules allow this region to forward the request.
  bool MayTransit(const ParsedRequest& aRequest) const;
  void Respond(proxy::Exchange& aExchange, const RequestResult& aResult) const;

  const VmContext& m_context;
  const Dependencies m_deps;
};

} // namespace jaylane::entry
