#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace jaylane::gateway {

/// @param aConnection value of the Connection header: names of further headers of the hop.
/// @return whether a header concerns only one connection and must not be forwarded.
bool IsHopHeader(std::string_view aName, std::string_view aConnection);

/// @param aFields headers of a message.
/// @param aOmit further names to leave out.
/// @return end-to-end headers as "Name: value\r\n" lines. Content-Length is left out: whoever
///         sends the message frames it anew.
std::string EndToEndHeaders(const boost::beast::http::fields& aFields,
                            std::initializer_list<std::string_view> aOmit);

} // namespace jaylane::gateway
