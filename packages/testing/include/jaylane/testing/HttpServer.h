#pragma once

#include "jaylane/base/Error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jaylane::testing {

/// Request as passed to the hooks of HttpServer.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  /// Names in lower case.
  std::map<std::string, std::string> m_headers;
  /// First bytes of the body, up to HttpServerOptions::m_keptBodyBytes.
  std::string m_body;
  std::uint64_t m_bodyBytes = 0;
  /// XXH64 of the whole body.
  std::uint64_t m_bodyHash = 0;
  /// For use by the hooks, which can keep data of the request here; unused by the server.
  std::shared_ptr<void> m_context;
  int m_socketFd = -1;

  /// @param aName lower-case name.
  /// @return value of the header, or an empty string if absent.
  std::string Header(const std::string& aName) const;

  /// @return value of the query argument, or the default if absent or not a number.
  std::uint64_t QueryNumber(const std::string& aName, std::uint64_t aDefault) const;

  /// Waits until the client closes the connection or the time has passed.
  /// @return whether the client closed the connection.
  bool ClosedWithin(std::chrono::milliseconds aTimeout) const;
};

struct HttpResponse
{
  /// Writes at most the given number of body bytes from the offset on to the buffer and returns
  /// how many it wrote; 0 or less aborts the connection.
  using Reader = std::function<std::int64_t(std::uint64_t, char*, std::size_t)>;

  unsigned m_status = 200;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  /// If set, produces a body of m_size bytes instead of m_body.
  Reader m_reader;
  std::uint64_t m_size = 0;
  /// If true, closes the connection without a response.
  bool m_close = false;
};

struct HttpServerOptions
{
  std::string m_bindAddress = "127.0.0.1";
  /// 0 lets the kernel choose.
  std::uint16_t m_port = 0;
  unsigned m_connectionLimit = 512;
  /// Memory for the header of a request and for its parsed fields. A header that needs more is
  /// rejected, or its connection is closed.
  std::size_t m_connectionMemoryBytes = 32 * 1024;
  /// The hooks get at most this much of a body; the rest is only counted and hashed.
  std::size_t m_keptBodyBytes = 2 * 1024 * 1024;
};

/// HTTP server with a thread per connection, so that hooks may block.
class HttpServer
{
public:
  struct Hooks
  {
    /// Optional; called when the headers have arrived.
    std::function<void(HttpRequest&)> m_onHeaders;
    /// Called when the body has arrived; returns the response.
    std::function<HttpResponse(HttpRequest&)> m_onRequest;
    /// Optional; called once at the end of each request. The flag says whether the response was
    /// sent completely.
    std::function<void(HttpRequest&, bool)> m_onEnd;
  };

  /// @return the listening server, or an error if it cannot listen on the address.
  static base::Result<std::unique_ptr<HttpServer>> Make(const HttpServerOptions& aOptions,
                                                        Hooks aHooks);
  /// Closes all connections and waits for running hooks.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return "<address>:<port>".
  const std::string& Address() const { return m_address; }

private:
  struct Internals;
  explicit HttpServer(Hooks aHooks);

  std::unique_ptr<Internals> m_internals;
  std::string m_address;
};

/// @param aStatus HTTP status.
/// @param aJson serialized body.
/// @return a response of type application/json.
HttpResponse JsonResponse(unsigned aStatus, std::string aJson);

} // namespace jaylane::testing
