#include "Listen.h"

#include "SocketOptions.h"
#include "jaylane/gateway/GatewayError.h"

#include <fmt/format.h>

namespace jaylane::gateway {

namespace {

/// Connections that may wait to be accepted. Beyond, the kernel drops SYN packets, and the caller
/// waits seconds for the retransmission.
constexpr int kBacklog = 1024;

} // namespace

base::Error ListenError(const boost::system::error_code& aError,
                        const char* aStep,
                        const std::string& aAddress)
{
  const bool isUnavailable = aError == boost::system::errc::address_in_use ||
                             aError == boost::system::errc::address_not_available;
  return { make_error_code(isUnavailable ? GatewayErrc::AddressUnavailable
                                         : GatewayErrc::ListenFailed),
           fmt::format("{} {}: {}", aStep, aAddress, aError.message()) };
}

base::Status ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return base::Error{ make_error_code(GatewayErrc::ListenFailed),
                        "\"" + aAddress + "\" is not an address and port" };
  }
  boost::system::error_code error;
  const char* step = "open";
  aAcceptor.open(endpoint->protocol(), error);
  if (!error) {
    aAcceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    step = "bind";
    aAcceptor.bind(*endpoint, error);
  }
  if (!error) {
    step = "listen";
    aAcceptor.listen(kBacklog, error);
  }
  if (error) {
    boost::system::error_code ignored;
    aAcceptor.close(ignored);
    return ListenError(error, step, aAddress);
  }
  return base::Success{};
}

} // namespace jaylane::gateway
