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

/// The members of an object, of which none is parsed. They are found in one pass over the text.
class JsonMembers
{
public:
  /// @param aText JSON text of an object, nested to any depth. It must outlive this.
  explicit JsonMembers(std::string_view aText);

  /// @param aName name of a member. Members whose names have escapes are not found.
  /// @return text of the value of the first member with the name; empty if there is none, also if
  ///   text that is no member precedes it.
  std::string_view Text(std::string_view aName) const;

private:
  struct Member
  {
    std::string_view m_name;
    std::string_view m_text;
  };

  std::vector<Member> m_members;
};

} // namespace jaylane::base
