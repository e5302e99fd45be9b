#pragma once

#include "jaylane/base/SocketAddress.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace jaylane::proxy {

/// Upstream for tests that need control over every byte sent: accepts one connection at a time,
/// reads a request and lets a script respond on the socket.
class RawUpstream
{
public:
  /// @param aSocket connected socket; closed after the script returns.
  /// @param aRequest head and body as far as received.
  using Script = std::function<void(int aSocket, const std::string& aRequest)>;

  explicit RawUpstream(Script aScript);
  ~RawUpstream();

  const base::SocketAddress& Address() const { return m_address; }
  int Requests() const { return m_requests; }

  /// Sends text on a socket.
  static void Send(int aSocket, const std::string& aText);

private:
  void Run();
  std::string ReadRequest(int aSocket);

  const Script m_script;
  base::SocketAddress m_address;
  int m_listener = -1;
  std::atomic<bool> m_stop{ false };
  std::atomic<int> m_requests{ 0 };
  std::thread m_thread;
};

} // namespace jaylane::proxy
