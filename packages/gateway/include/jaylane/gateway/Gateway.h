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

/// An entry VM that uses the platform's object store: accepts requests of callers, forwards them to
/// upstreams, and answers lookups with the addresses of the entry VMs to use.
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
    /// Reads the settings file again; called on SIGHUP and when m_hasNewSettings returns true.
    std::function<base::Result<GatewaySettings>()> m_reload;
    /// Returns whether the settings file has changed since the last call. The platform may change
    /// the file without sending a signal.
    std::function<bool()> m_hasNewSettings;
  };

  explicit Gateway(Dependencies aDependencies);
  ~Gateway();

  /// Serves until SIGTERM or SIGINT, then finishes the requests in flight within the grace time.
  /// Addresses that are in use or not up are tried again for a bounded time.
  /// @return an error if the VM could not listen on an address that it needs.
  base::Status Run();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace jaylane::gateway
