#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"
#include "jaylane/base/SocketAddress.h"
#include "jaylane/proxy/Exchange.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jaylane::proxy {

/// A query for the VMs that a caller should send requests of a service to.
struct LookupRequest
{
  std::string_view m_service;
  /// Address given in the query, else the peer address of the connection.
  std::string_view m_caller;
};

/// Response to a lookup.
struct LookupResponse
{
  unsigned m_status = 200;
  /// JSON text.
  std::string m_body;
  /// Value of the Retry-After header; zero omits it.
  std::chrono::seconds m_retryAfter{ 0 };
};

/// HTTP server for callers: responds to lookups and passes requests to a hook.
class CallerServer
{
public:
  struct Options
  {
    base::SocketAddress m_bind;
    unsigned m_threads = 2;
    unsigned m_maxConnections = 4096;
    /// Connections without progress for this long are closed, unless a request is in flight.
    std::chrono::seconds m_idleTimeout{ 30 };
    /// The same limit while a request is in flight; longer than any deadline.
    std::chrono::seconds m_requestIdleTimeout{ 600 };
  };

  /// @return earliest time at which a request that is read now may have arrived.
  using ArrivalHook = std::function<base::MonotonicTime()>;
  /// Produces the response to a lookup; must not block.
  using LookupHook = std::function<LookupResponse(const LookupRequest&)>;
  /// Processes a request. Called once the body is complete or fills the replay buffer; must not
  /// block and must ensure that the exchange gets a response.
  using RequestHook = std::function<void(std::shared_ptr<Exchange>)>;

  /// Binds the address and starts serving.
  /// @param aOptions address and limits; port 0 lets the kernel choose.
  /// @param aArrival deadlines of requests count from its result.
  /// @return the server, or ListenFailed.
  static base::Result<std::unique_ptr<CallerServer>> Make(const Options& aOptions,
                                                          ArrivalHook aArrival,
                                                          LookupHook aLookup,
                                                          RequestHook aRequest);

  /// Closes all connections. For a graceful shutdown, call Quiesce() and wait until InFlight() is 0
  /// first.
  ~CallerServer();

  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// @return the bound address with the actual port.
  const base::SocketAddress& Address() const;

  /// Closes the listener. Connections are closed after their current response.
  void Quiesce();

  /// @return number of requests whose response was not yet sent in full.
  std::size_t InFlight() const;

private:
  struct State;
  explicit CallerServer(std::unique_ptr<State> aState);

  std::unique_ptr<State> m_state;
};

} // namespace jaylane::proxy
