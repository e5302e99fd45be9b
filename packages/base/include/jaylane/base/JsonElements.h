#pragma once

#include "jaylane/base/Error.h"

#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::base {

/// An object whose array of entries is not parsed with it, so that an entry which cannot be read
/// costs none of the others.
struct JsonElements
{
  /// The object; the array is empty.
  Json::Value m_object;
  /// Texts of the array's elements. They point into the parsed text.
  std::vector<std::string_view> m_elements;
};

/// Separates the elements of an array from the object that it is a member of. The elements may be
/// nested to any depth and hold numbers of any size.
/// @param aText JSON text of an object.
/// @param aArray name of the member.
/// @return the object and the elements, or InvalidValue if the text has no such array or the rest
/// of
///   the object is not valid.
Result<JsonElements> ParseJsonElements(std::string_view aText, std::string_view aArray);

/// @param aText JSON text of an object, nested to any depth.
/// @param aName name of one of its members.
/// @return text of the member's value; empty if there is none.
std::string_view JsonMemberText(std::string_view aText, std::string_view aName);

} // namespace jaylane::base
