#include "jaylane/proxy/HttpHead.h"

#include <algorithm>
#include <array>
#include <strings.h>
#include <utility>

namespace jaylane::proxy {

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::optional<std::string_view> HeaderList::Find(std::string_view aName) const
{
  for (const Header& header : m_fields) {
    if (EqualsIgnoringCase(header.m_name, aName)) {
      return header.m_value;
    }
  }
  return std::nullopt;
}

void HeaderList::Add(std::string aName, std::string aValue)
{
  m_fields.push_back({ std::move(aName), std::move(aValue) });
}

void HeaderList::Remove(std::string_view aName)
{
  std::erase_if(
    m_fields, [aName](const Header& aHeader) { return EqualsIgnoringCase(aHeader.m_name, aName); });
}

bool IsHopByHop(std::string_view aName)
{
  static constexpr std::array<std::string_view, 12> kNames = {
    "connection", "keep-alive", "transfer-encoding",   "te",
    "trailer",    "upgrade",    "proxy-authorization", "proxy-authenticate",
    "host",       "expect",     "content-length",      "proxy-connection",
  };
  return std::any_of(kNames.begin(), kNames.end(), [aName](std::string_view aKnown) {
    return EqualsIgnoringCase(aName, aKnown);
  });
}

} // namespace jaylane::proxy
