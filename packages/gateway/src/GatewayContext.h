#pragma once

#include "BodyMemoryBudget.h"
#include "GatewayMetrics.h"
#include "Steering.h"
#include "UpstreamConnectionPool.h"
#include "jaylane/gateway/WireFormat.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace jaylane::gateway {

/// Progress of a planned stop.
enum class LifecyclePhase
{
  Serving,
  /// Requests are served, and connections are closed behind their responses.
  Draining,
  /// New requests are rejected, those in flight finish.
  Closing,
};

/// What the parts of the request thread share.
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
  /// Callers hold most of the connections that are meant for them; responses close theirs.
  bool m_isCrowded = false;
};

} // namespace jaylane::gateway
