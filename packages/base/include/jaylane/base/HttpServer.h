#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/base/SocketAddress.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jaylane::base {

/// A completely received request.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::string m_body;
  /// Query parameters by name.
  std::map<std::string, std::string> m_query;
  /// Header fields by lower-case name.
  std::map<std::string, std::string> m_headers;
  /// IPv4 address of the client, without port.
  std::string m_clientHost;

  /// @param aName lower-case header name.
  /// @return the value, or an empty string.
  std::string Header(const std::string& aName) const;

  /// @param aName query parameter.
  /// @return the value, or an empty string.
  std::string Query(const std::string& aName) const;
};

/// A response.
struct HttpResponse
{
  unsigned m_status = 200;
  std::string m_body;
  std::map<std::string, std::string> m_headers;
  /// Closes the connection without sending a response.
  bool m_abort = false;
};

/// HTTP server for control traffic. Buffers whole bodies, which should be small; handlers may
/// block.
class HttpServer
{
public:
  struct Options
  {
    SocketAddress m_bind;
    /// Threads that call the handler; at least 2 are used.
    unsigned m_threads = 2;
    unsigned m_maxConnections = 512;
    std::size_t m_maxBodyBytes = std::size_t{ 1 } << 20;
    /// Connections on which nothing was transferred for this long are closed.
    std::chrono::seconds m_idleTimeout{ 60 };
  };

  /// Called on a server thread for each request.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Binds and starts serving.
  /// @param aOptions address and limits; port 0 lets the kernel choose.
  /// @param aHandler returns the response; an exception results in status 500.
  /// @return the server, or ListenFailed.
  static Result<std::unique_ptr<HttpServer>> Make(const Options& aOptions, Handler aHandler);

  /// Stops listening and waits for running handlers.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the bound address with the actual port.
  const SocketAddress& Address() const;

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> aState);

  std::unique_ptr<State> m_state;
};

} // namespace jaylane::base
