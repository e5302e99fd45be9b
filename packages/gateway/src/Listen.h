#pragma once

#include "jaylane/base/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace jaylane::gateway {

/// @param aStep what was tried, such as "bind".
/// @return the error of a socket that cannot be bound: AddressUnavailable if the address is in use
/// or
///   not up, otherwise ListenFailed.
base::Error ListenError(const boost::system::error_code& aError,
                        const char* aStep,
                        const std::string& aAddress);

/// Opens an acceptor, binds it to an address and listens. On failure the acceptor is closed.
/// @param aAddress "ip:port".
/// @return an error as of ListenError(), or ListenFailed if the address is malformed.
base::Status ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress);

} // namespace jaylane::gateway
