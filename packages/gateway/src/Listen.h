#pragma once

#include "jaylane/base/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace jaylane::gateway {

/// Opens an acceptor, binds it to an address and listens.
/// @param aAddress "ip:port".
/// @return ListenFailed with the address and the reason on failure.
base::Status ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress);

} // namespace jaylane::gateway
