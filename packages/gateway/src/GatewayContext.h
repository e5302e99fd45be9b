#pragma once

#include "BodyMemoryBudget.h"
#include "GatewayMetrics.h"
#include "HeldRequests.h"
#include "QuotaGate.h"
#include "Steering.h"
#include "UpstreamConnectionPool.h"
#include "jaylane/gateway/WireFormat.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace jaylane::gateway {

/// Progress of a graceful shutdown.
enum class LifecyclePhase
{
  Serving,
  /// Requests are served, and responses close their connections.
  Draining,
  /// New requests are rejected, those in flight finish.
  Closing,
};

/// State shared by the components that run on the request thread.
struct GatewayContext
{
  boost::asio::io_context& m_io;
  const GatewaySettings& m_settings;
  const WireFormat& m_wire;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  Steering& m_steering;
  UpstreamConnectionPool& m_pool;
  GatewayMetrics& m_metrics;
  BodyMemoryBudget& m_bodyBudget;
  LifecyclePhase m_phase = LifecyclePhase::Serving;
  /// When the process exits after a graceful shutdown; set while it lasts. Requests that may take
  /// longer are rejected.
  std::optional<base::MonotonicTime> m_exitAt = std::nullopt;
  /// The number of caller connections is close to its limit; responses close their connections.
  bool m_isNearConnectionLimit = false;
  /// Requests of all connections that are unanswered or whose responses wait for the caller, beyond
  /// the first ones of each connection.
  std::size_t m_pipelinedRequests = 0;
  /// Returns whether this VM knows that its view of the upstreams is too old to send requests on
  /// it.
  std::function<bool()> m_isViewOutdated = [] { return false; };
  /// Returns whether this VM can be sure that its configuration is the newest.
  std::function<bool()> m_isConfigurationConfirmed = [] { return true; };
  /// Applies configurations that wait for the request thread, so that they overtake the requests
  /// that wait for it, too.
  std::function<void()> m_applyConfigurations = [] {};
  /// Returns whether requests that only some regions may run can be sent: not if this VM may have
  /// missed a version that was to be in force by now.
  std::function<bool()> m_mayServeRestricted = [] { return true; };
  /// Quotas of the teams; without it, all requests are admitted.
  QuotaGate* m_quotas = nullptr;
  /// Requests that no upstream accepts now.
  std::unique_ptr<HeldRequests> m_held = std::make_unique<HeldRequests>(m_io, m_clock);
};

} // namespace jaylane::gateway
