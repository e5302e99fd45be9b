#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace jaylane::gateway {

/// @param aConnection value of the Connection header, which names further hop-by-hop headers.
/// @return whether a header is hop-by-hop and must not be forwarded.
bool IsHopByHopHeader(std::string_view aName, std::string_view aConnection);

/// @param aFields headers of a message.
/// @param aOmit names of further headers to leave out.
/// @return end-to-end headers as "Name: value\r\n" lines. Content-Length is left out, because the
///         sender of the forwarded message writes its own.
std::string EndToEndHeaders(const boost::beast::http::fields& aFields,
                            std::initializer_list<std::string_view> aOmit);

} // namespace jaylane::gateway
