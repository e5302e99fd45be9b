#pragma once

#include "AdminServer.h"
#include "ClaimQueue.h"
#include "ConfigState.h"
#include "Directory.h"
#include "FailoverLimiters.h"
#include "Lifecycle.h"
#include "LinkRateLimiter.h"
#include "LoadExchange.h"
#include "LoadMeter.h"
#include "LookupService.h"
#include "PeerService.h"
#include "RequestMetrics.h"
#include "RequestQuarantine.h"
#include "RequestRouter.h"
#include "ServiceDispatcher.h"
#include "ShareTableManager.h"
#include "ShiftController.h"
#include "SlotLeaseManager.h"
#include "SteeringState.h"
#include "StoreSync.h"
#include "SynchronizedExecutionLedger.h"
#include "VmContext.h"
#include "ZoneSlotPool.h"
#include "jaylane/base/PauseDetector.h"
#include "jaylane/base/PeriodicThread.h"
#include "jaylane/entry/EntryVm.h"
#include "jaylane/platform/HttpStore.h"
#include "jaylane/proxy/CallerServer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Owns and connects the components of an entry VM.
class EntryVm::Impl
{
public:
  Impl(const settings::VmSettings& aSettings, const base::Clock& aClock);
  ~Impl();

  base::Status Start();
  void Stop();
  EntryAddresses Addresses() const;
  const std::string& IncarnationText() const { return m_context.m_incarnationText; }

private:
  using DispatcherMap = std::map<std::string, std::shared_ptr<ServiceDispatcher>, std::less<>>;

  void StartSync();
  void StartPeriodicTasks();
  void OnConfig(const Config& aConfig);
  void ApplyConfig(const Config& aConfig);
  void ApplyLimits(const Config& aConfig);
  void OnVmList(const platform::VmList& aList, base::MonotonicTime aRequestedAt);
  void ApplyUpstreams();
  void Tick();
  void ProbeUpstreams();
  std::shared_ptr<ServiceDispatcher> FindDispatcher(const std::string& aService) const;
  DispatcherMap Dispatchers() const;
  Json::Value Status() const;
  Json::Value Metrics();
  Json::Value Forecast(const settings::SettingsDocument& aDocument) const;
  std::chrono::milliseconds LongestLookupLifetime() const;
  void WaitForRequests() const;
  /// Donates all share units of this VM to other VMs and waits until it owns none.
  void TransferShareUnits();

  const settings::VmSettings m_settings;
  const base::Log m_log;
  base::HybridClock m_hybridClock;
  base::EventLog m_events;
  const VmContext m_context;

  base::PauseDetector m_pauseDetector;
  platform::HttpStore m_store;
  ConfigState m_config;
  Directory m_directory;
  SteeringState m_steering;
  ZoneSlotPool m_slotPool;
  RequestQuarantine m_quarantine;
  SynchronizedExecutionLedger m_ledger;
  FailoverLimiters m_failoverLimiters;
  LoadMeter m_loadMeter;
  LinkRateLimiter m_linkLimiter;
  RequestMetrics m_metrics;
  ShareTableManager m_shareTable;
  SlotLeaseManager m_slotLeases;
  PeerService m_peerService;
  LoadExchange m_loadExchange;
  ShiftController m_shiftController;
  StoreSync m_storeSync;
  std::unique_ptr<proxy::UpstreamTransport> m_transport;
  std::unique_ptr<ClaimQueue> m_claims;
  LookupService m_lookupService;
  RequestRouter m_router;
  Lifecycle m_lifecycle;

  /// Held while a generation of the settings is applied.
  std::mutex m_configMutex;
  /// Last generation that was applied to all components.
  std::atomic<std::uint64_t> m_generationInEffect{ 0 };

  /// Time of the last probe by upstream id. Used by the probing thread only.
  std::map<std::string, base::MonotonicTime> m_probedAt;

  mutable std::mutex m_mutex;
  DispatcherMap m_dispatchers;

  std::unique_ptr<proxy::CallerServer> m_callerServer;
  std::unique_ptr<AdminServer> m_adminServer;
  std::vector<std::unique_ptr<base::PeriodicThread>> m_periodicTasks;
};

} // namespace jaylane::entry
