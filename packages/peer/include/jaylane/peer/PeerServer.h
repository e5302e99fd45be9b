#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/base/SocketAddress.h"
#include "jaylane/peer/Messages.h"

#include <functional>
#include <memory>
#include <string>

namespace jaylane::peer {

/// Handlers of the calls that peers can make. Called on server threads.
struct PeerHandlers
{
  std::function<ExchangeMessage(const ExchangeMessage&)> m_exchange;
  std::function<ProbeResponse(const ProbeRequest&)> m_probe;
  std::function<BorrowResponse(const BorrowRequest&)> m_borrow;
  std::function<HandoverResponse(const HandoverRequest&)> m_handover;
};

/// JSON-RPC server for calls of other entry VMs. Refuses calls without the shared key.
class PeerServer
{
public:
  /// @param aBind address; port 0 lets the kernel choose.
  /// @param aKey shared key of the deployment.
  /// @param aHandlers must all be set.
  /// @return the server, or ListenFailed.
  static base::Result<std::unique_ptr<PeerServer>> Make(const base::SocketAddress& aBind,
                                                        std::string aKey,
                                                        PeerHandlers aHandlers);
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// @return the bound address with the actual port.
  const base::SocketAddress& Address() const;

private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> m_impl;
};

} // namespace jaylane::peer
