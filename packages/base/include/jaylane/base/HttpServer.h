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

/// A request with a small body, fully received.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::string m_body;
  std::map<std::string, std::string> m_query;
  /// Keys are lower case.
  std::map<std::string, std::string> m_headers;
  std::string m_clientHost;

  /// @param aName lower-case header name.
  /// @return the value, or an empty string.
  std::string Header(const std::string& aName) const;

  /// @param aName query parameter.
  /// @return the value, or an empty string.
  std::string Query(const std::string& aName) const;
};

/// A response with a small body.
struct HttpReply
{
  unsigned m_status = 200;
  std::string m_body;
  std::map<std::string, std::string> m_headers;
  /// Breaks the connection instead of responding.
  bool m_abort = false;
};

/// HTTP server for control traffic: whole bodies, handlers that may block.
class HttpServer
{
public:
  struct Options
  {
    SocketAddress m_bind;
    unsigned m_threads = 2;
    unsigned m_maxConnections = 512;
    std::size_t m_maxBodyBytes = std::size_t{ 1 } << 20;
    /// Connections without progress for this long are closed.
    std::chrono::seconds m_idleTimeout{ 60 };
  };

  /// Called on a server thread for each request.
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  /// Binds and starts serving.
  /// @param aOptions address and limits; port 0 lets the kernel choose.
  /// @param aHandler produces the response; an exception becomes status 500.
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
