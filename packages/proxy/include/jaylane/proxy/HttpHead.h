#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::proxy {

struct Header
{
  std::string m_name;
  std::string m_value;
};

/// Header fields in the order received.
class HeaderList
{
public:
  /// @param aName name in any case.
  /// @return the first value, or nothing.
  std::optional<std::string_view> Find(std::string_view aName) const;

  /// Appends a field.
  void Add(std::string aName, std::string aValue);

  /// Removes all fields of the name, in any case.
  void Remove(std::string_view aName);

  const std::vector<Header>& Fields() const { return m_fields; }

private:
  std::vector<Header> m_fields;
};

/// Method, target and header fields of a request.
struct RequestHead
{
  std::string m_method;
  /// Path and query, as the caller sent them.
  std::string m_target;
  HeaderList m_headers;
  /// Peer address of the caller's connection.
  std::string m_clientHost;
};

/// Status and header fields of a response.
struct ResponseHead
{
  unsigned m_status = 0;
  HeaderList m_headers;
  /// Length of the body, or nothing if the body is chunked.
  std::optional<std::uint64_t> m_contentLength;
};

/// @param aName header name.
/// @return true if the field belongs to one connection (RFC 9110, 7.6.1) or frames the
///   body, and so must not be forwarded.
bool IsHopByHop(std::string_view aName);

/// @param aLeft first name.
/// @param aRight second name.
/// @return true if the names are equal, ignoring ASCII case.
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace jaylane::proxy
