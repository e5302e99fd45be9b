#pragma once

#include "jaylane/base/AsyncLog.h"

#include <boost/asio/io_context.hpp>
#include <string_view>

namespace jaylane::gateway {

/// Runs an event loop until it is stopped. An exception that a handler throws is logged and ends
/// that handler only.
/// @param aThread name of the loop's thread in the log.
void RunLoop(boost::asio::io_context& aIo, base::AsyncLog& aLog, std::string_view aThread);

} // namespace jaylane::gateway
