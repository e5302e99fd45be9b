#include "RawUpstream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace jaylane::proxy {

RawUpstream::RawUpstream(Script aScript)
  : m_script(std::move(aScript))
{
  m_listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = base::SocketAddress{ INADDR_LOOPBACK, 0 }.ToSockaddr();
  socklen_t size = sizeof(address);
  bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
  listen(m_listener, 16);
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_address = { INADDR_LOOPBACK, ntohs(address.sin_port) };
  m_thread = std::thread([this] { Run(); });
}

RawUpstream::~RawUpstream()
{
  m_stop = true;
  m_thread.join();
  close(m_listener);
}

void RawUpstream::Send(int aSocket, const std::string& aText)
{
  send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
}

std::string RawUpstream::ReadRequest(int aSocket)
{
  std::string request;
  while (request.find("\r\n\r\n") == std::string::npos) {
    char block[4096];
    const ssize_t size = recv(aSocket, block, sizeof(block), 0);
    if (size <= 0) {
      break;
    }
    request.append(block, static_cast<std::size_t>(size));
  }
  return request;
}

void RawUpstream::Run()
{
  while (!m_stop) {
    pollfd waiting{ m_listener, POLLIN, 0 };
    if (poll(&waiting, 1, 20) <= 0) {
      continue;
    }
    const int connection = accept(m_listener, nullptr, nullptr);
    // A persistent connection carries requests until the script's response closes it.
    for (std::string request = ReadRequest(connection); !request.empty();
         request = ReadRequest(connection)) {
      ++m_requests;
      m_script(connection, request);
      if (request.find("/keep") == std::string::npos) {
        break;
      }
    }
    close(connection);
  }
}

} // namespace jaylane::proxy
