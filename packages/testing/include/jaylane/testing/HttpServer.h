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

/// A request as the hooks of HttpServer see it.
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
  /// Belongs to the hooks.
  std::shared_ptr<void> m_context;
  int m_socket = -1;

  /// @param aName lower-case name.
  /// @return the header, or an empty text.
  std::string Header(const std::string& aName) const;

  /// @return the query argument as a number, or the default if absent or malformed.
  std::uint64_t QueryNumber(const std::string& aName, std::uint64_t aDefault) const;

  /// Waits, unless the client goes away first.
  /// @param aTime longest wait.
  /// @return true if the client closed the connection.
  bool ClosedWithin(std::chrono::milliseconds aTime) const;
};

struct HttpResponse
{
  /// Writes up to the given bytes at the offset and returns their number; 0 or less
  /// breaks the connection.
  using Reader = std::function<std::int64_t(std::uint64_t, char*, std::size_t)>;

  unsigned m_status = 200;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  /// Produces the body instead of m_body, with m_size bytes.
  Reader m_reader;
  std::uint64_t m_size = 0;
  /// Closes the connection without a response.
  bool m_close = false;
};

struct HttpServerOptions
{
  std::string m_bindAddress = "127.0.0.1";
  /// 0 lets the kernel choose.
  std::uint16_t m_port = 0;
  unsigned m_connectionLimit = 512;
  std::size_t m_keptBodyBytes = 2 * 1024 * 1024;
};

/// Small HTTP server with a thread per connection, so that hooks may block.
class HttpServer
{
public:
  struct Hooks
  {
    /// Optional; runs when the headers have arrived.
    std::function<void(HttpRequest&)> m_begin;
    /// Runs when the body has arrived.
    std::function<HttpResponse(HttpRequest&)> m_handle;
    /// Optional; runs once for each request that began, with whether the response was sent.
    std::function<void(HttpRequest&, bool)> m_end;
  };

  static base::Result<std::unique_ptr<HttpServer>> Make(const HttpServerOptions& aOptions,
                                                        Hooks aHooks);
  /// Closes all connections and waits for the hooks.
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
/// @param aJson text of the body.
/// @return a response of type application/json.
HttpResponse JsonResponse(unsigned aStatus, std::string aJson);

} // namespace jaylane::testing
