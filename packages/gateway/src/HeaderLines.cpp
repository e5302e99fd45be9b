#include "HeaderLines.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace jaylane::gateway {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::array<std::string_view, 9> kHopByHopHeaders{
  "Connection",
  "Keep-Alive",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
};

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

} // namespace

bool IsHopByHopHeader(std::string_view aName, std::string_view aConnection)
{
  if (std::ranges::any_of(kHopByHopHeaders, [aName](std::string_view aHop) {
        return EqualsIgnoreCase(aName, aHop);
      })) {
    return true;
  }
  return !aConnection.empty() &&
         http::token_list{ { aConnection.data(), aConnection.size() } }.exists(
           { aName.data(), aName.size() });
}

std::string EndToEndHeaders(const http::fields& aFields,
                            std::initializer_list<std::string_view> aOmit)
{
  const auto connection = aFields[http::field::connection];
  const std::string_view connectionValue{ connection.data(), connection.size() };
  std::string lines;
  for (const auto& field : aFields) {
    const std::string_view name{ field.name_string().data(), field.name_string().size() };
    const bool isOmitted = std::ranges::any_of(
      aOmit, [name](std::string_view aOther) { return EqualsIgnoreCase(name, aOther); });
    if (isOmitted || EqualsIgnoreCase(name, "Content-Length") ||
        IsHopByHopHeader(name, connectionValue)) {
      continue;
    }
    lines.append(name).append(": ");
    lines.append(field.value().data(), field.value().size()).append("\r\n");
  }
  return lines;
}

} // namespace jaylane::gateway
