#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/base/SocketAddress.h"
#include "jaylane/peer/Messages.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace jaylane::peer {

/// Calls other entry VMs by JSON-RPC. Thread safe; calls block up to their timeout.
class PeerClient
{
public:
  /// @param aKey shared key of the deployment, sent with each call.
  explicit PeerClient(std::string aKey);

  base::Result<ExchangeMessage> Exchange(const base::SocketAddress& aPeer,
                                         const ExchangeMessage& aMessage,
                                         std::chrono::milliseconds aTimeout);
  base::Result<ProbeResponse> Probe(const base::SocketAddress& aPeer,
                                    const ProbeRequest& aMessage,
                                    std::chrono::milliseconds aTimeout);
  base::Result<BorrowResponse> Borrow(const base::SocketAddress& aPeer,
                                      const BorrowRequest& aMessage,
                                      std::chrono::milliseconds aTimeout);
  /// After NoResponse the peer may or may not have taken over the scopes.
  base::Result<HandoverResponse> Handover(const base::SocketAddress& aPeer,
                                          const HandoverRequest& aMessage,
                                          std::chrono::milliseconds aTimeout);

  /// @return bytes of request and response bodies so far.
  std::uint64_t BytesTransferred() const { return m_bytes; }

private:
  template<typename Response, typename Request>
  base::Result<Response> Call(const base::SocketAddress& aPeer,
                              const char* aMethod,
                              const Request& aMessage,
                              std::chrono::milliseconds aTimeout);
  /// @return whether a response with status 200 was received completely.
  bool Post(const base::SocketAddress& aPeer,
            const std::string& aRequest,
            std::string& aResponse,
            std::chrono::milliseconds aTimeout);

  const std::string m_key;
  std::atomic<std::uint64_t> m_bytes{ 0 };
};

} // namespace jaylane::peer
