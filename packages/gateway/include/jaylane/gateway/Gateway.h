#pragma once

#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"
#include "jaylane/gateway/GatewaySettings.h"
#include "jaylane/gateway/StoreDialect.h"
#include "jaylane/gateway/WireFormat.h"

#include <functional>
#include <memory>

namespace jaylane::gateway {

/// One entry VM on an object store: accepts callers, steers their requests to upstreams, tells
/// callers which VM to use.
class Gateway
{
public:
  struct Dependencies
  {
    GatewaySettings m_settings;
    WireFormat m_wire;
    const StoreDialect& m_dialect;
    const base::Clock& m_clock;
    base::AsyncLog& m_log;
    /// Reads the settings file anew; called on SIGHUP and when m_hasNewSettings says so.
    std::function<base::Result<GatewaySettings>()> m_reload;
    /// Tells whether the settings file has changed since the last call; the platform may change
    /// it without a signal.
    std::function<bool()> m_hasNewSettings;
  };

  explicit Gateway(Dependencies aDependencies);
  ~Gateway();

  /// Serves until SIGTERM or SIGINT and the requests in flight then are done.
  /// @return an error if the VM could not start.
  base::Status Run();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace jaylane::gateway
