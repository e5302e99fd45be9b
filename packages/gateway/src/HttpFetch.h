#pragma once

#include "jaylane/base/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jaylane::gateway {

/// A request of the gateway itself.
struct FetchRequest
{
  std::string m_method = "GET";
  std::string m_target;
  std::string m_body;
  /// Whole time for the exchange, connecting included.
  std::chrono::milliseconds m_timeout{ 1000 };
};

/// Its response; status 0 if there was none.
struct FetchResponse
{
  unsigned m_status = 0;
  std::string m_body;
  boost::beast::http::fields m_fields;
};

/// HTTP client for one server that keeps its connection; one request at a time. Never repeats a
/// request by itself.
class HttpFetch : public std::enable_shared_from_this<HttpFetch>
{
public:
  using Done = std::function<void(FetchResponse)>;

  /// @param aAddress "ip:port".
  HttpFetch(boost::asio::io_context& aIo, std::string aAddress);

  void Start(FetchRequest aRequest, Done aDone);

  /// Ends the exchange without a result and closes the connection.
  void Close();

private:
  void Connect();
  void Send();
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  void Finish(FetchResponse aResponse);

  boost::asio::io_context& m_io;
  std::string m_address;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
  FetchRequest m_request;
  std::string m_text;
  Done m_done;
  /// Handlers of an exchange that ended carry an older number.
  std::uint64_t m_exchange = 0;
};

} // namespace jaylane::gateway
