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

/// A lookup: which VMs should a caller use for a service.
struct LookupRequest
{
  std::string_view m_service;
  /// Address that the caller named, or that of its connection.
  std::string_view m_caller;
};

struct LookupReply
{
  unsigned m_status = 200;
  /// JSON text.
  std::string m_body;
  /// Zero for no Retry-After.
  std::chrono::seconds m_retryAfter{ 0 };
};

/// HTTP server of the caller port: answers lookups and hands requests on.
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
    /// The same while a request is in flight; longer than any deadline.
    std::chrono::seconds m_requestIdleTimeout{ 600 };
  };

  /// @return time at which a request that is read now may have arrived at the earliest.
  using ArrivalHook = std::function<base::MonotonicTime()>;
  /// Produces the response to a lookup; must not block.
  using LookupHook = std::function<LookupReply(const LookupRequest&)>;
  /// Takes over a request once its body is complete or fills the replay buffer; must not
  /// block and must see to it that the exchange gets a response.
  using RequestHook = std::function<void(std::shared_ptr<Exchange>)>;

  /// Binds and starts serving.
  /// @param aOptions address and limits; port 0 lets the kernel choose.
  /// @param aArrival deadlines of requests count from its result.
  /// @return the server, or ListenFailed.
  static base::Result<std::unique_ptr<CallerServer>> Make(const Options& aOptions,
                                                          ArrivalHook aArrival,
                                                          LookupHook aLookup,
                                                          RequestHook aRequest);

  /// Ends all connections; a graceful stop calls Quiesce() and waits for InFlight() first.
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
