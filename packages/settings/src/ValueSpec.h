#pragma once

#include "Reporter.h"

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// Describes and checks the values that a key accepts.
struct ValueSpec
{
  /// Description of the values, as in "expected <description>".
  std::string m_expected;
  /// Reports all problems of a value.
  std::function<void(const Json::Value&, const JsonPath&, Reporter&)> m_check;
};

/// @return spec of integers in an inclusive range.
ValueSpec Integer(std::int64_t aMin, std::int64_t aMax);

/// @return spec of numbers in an inclusive range.
ValueSpec Number(double aMin, double aMax);

ValueSpec Boolean();

/// @return spec of strings that a predicate accepts.
ValueSpec Text(std::string aExpected, std::function<bool(const std::string&)> aAccepts);

/// @return spec like Text(), for values that must not appear in diagnostics.
ValueSpec Secret(std::string aExpected, std::function<bool(const std::string&)> aAccepts);

/// @return spec of names of regions, zones, services, laws and VMs.
ValueSpec Identifier();

/// @return spec of lists with at least aMinSize elements and without duplicate strings.
ValueSpec ListOf(ValueSpec aElement, std::size_t aMinSize);

/// @return whether the text has 1 to 63 characters, all of them ASCII letters, digits, ".", "_"
/// or "-", and starts with a letter or digit. Node paths and the keys of links and drains rely on
/// identifiers not containing their separators "/", ">" and ":".
bool IsIdentifier(std::string_view aText);

/// @return the value as compact JSON for messages, truncated if it is long.
std::string AbbreviatedJson(const Json::Value& aValue);

/// Describes one key of a mapping and the member of T that holds its value.
template<typename T>
struct KeySpec
{
  std::string m_name;
  ValueSpec m_value;
  /// Default; null if there is none.
  Json::Value m_default;
  /// Description in docs/settings.md.
  std::string m_doc;
  /// Stores a valid value in the struct.
  std::function<void(T&, const Json::Value&)> m_assign;
  /// Returns the value from the struct; null if it is absent.
  std::function<Json::Value(const T&)> m_read;
  /// Whether a key without a default may be absent.
  bool m_optional = false;
};

/// Checks a mapping and copies its values to a struct.
/// @param aJson the mapping.
/// @param aPath position of the mapping in the document.
/// @param aKeys known keys; keys that are absent get their default.
/// @param aValue receives the values; incomplete if an error is reported.
template<typename T>
void ReadMapping(const Json::Value& aJson,
                 const JsonPath& aPath,
                 const std::vector<KeySpec<T>>& aKeys,
                 T& aValue,
                 Reporter& aReporter);

/// @return names of the members for which aKnown returns false.
std::vector<std::string> UnknownMembers(const Json::Value& aJson,
                                        const std::function<bool(const std::string&)>& aKnown);

template<typename T>
const KeySpec<T>* FindKey(const std::vector<KeySpec<T>>& aKeys, const std::string& aName)
{
  for (const KeySpec<T>& key : aKeys) {
    if (key.m_name == aName) {
      return &key;
    }
  }
  return nullptr;
}

/// @return the path of a member or element of the value at aPath.
inline JsonPath ChildPath(JsonPath aPath, std::string aPart)
{
  aPath.push_back(std::move(aPart));
  return aPath;
}

/// Checks one value and assigns it if it is valid.
template<typename T>
void ReadKey(const KeySpec<T>& aKey,
             const Json::Value& aJson,
             const JsonPath& aPath,
             T& aValue,
             Reporter& aReporter)
{
  const std::size_t before = aReporter.All().size();
  aKey.m_value.m_check(aJson, aPath, aReporter);
  if (aReporter.All().size() == before) {
    aKey.m_assign(aValue, aJson);
  }
}

template<typename T>
void ReadMapping(const Json::Value& aJson,
                 const JsonPath& aPath,
                 const std::vector<KeySpec<T>>& aKeys,
                 T& aValue,
                 Reporter& aReporter)
{
  if (!aJson.isObject()) {
    aReporter.Error(aPath, "expected a mapping");
    return;
  }
  auto known = [&](const std::string& aName) { return FindKey(aKeys, aName) != nullptr; };
  for (const std::string& name : UnknownMembers(aJson, known)) {
    aReporter.Error(ChildPath(aPath, name), "expected a known key; this one is unknown");
  }
  for (const KeySpec<T>& key : aKeys) {
    if (aJson.isMember(key.m_name)) {
      ReadKey(key, aJson[key.m_name], ChildPath(aPath, key.m_name), aValue, aReporter);
    } else if (!key.m_default.isNull()) {
      key.m_assign(aValue, key.m_default);
    } else if (!key.m_optional) {
      aReporter.Error(ChildPath(aPath, key.m_name),
                      "expected " + key.m_value.m_expected + "; the key is missing");
    }
  }
}

} // namespace jaylane::settings
