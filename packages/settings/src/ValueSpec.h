#pragma once

#include "Reporter.h"

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// What values a key takes.
struct ValueSpec
{
  /// Completes the sentence "expected ...".
  std::string m_expected;
  /// Reports whatever is wrong with a value.
  std::function<void(const Json::Value&, const JsonPath&, Reporter&)> m_check;
};

/// @return spec of whole numbers in a range, inclusive.
ValueSpec Integer(std::int64_t aMin, std::int64_t aMax);

/// @return spec of numbers in a range, inclusive.
ValueSpec Number(double aMin, double aMax);

ValueSpec Boolean();

/// @return spec of text accepted by a predicate.
ValueSpec Text(std::string aExpected, std::function<bool(const std::string&)> aAccepts);

/// @return like Text(), for values that must not appear in diagnostics.
ValueSpec Secret(std::string aExpected, std::function<bool(const std::string&)> aAccepts);

/// @return spec of names of regions, zones, services, laws and VMs.
ValueSpec Identifier();

/// @return spec of lists.
ValueSpec ListOf(ValueSpec aElement, std::size_t aMinSize);

/// @return whether the text is 1 to 63 letters, digits, ".", "_" and "-", starting with a
/// letter or digit. Paths and link keys depend on it holding no "/", ">" or ":".
bool IsIdentifier(std::string_view aText);

/// @return the value as compact JSON, shortened, for messages.
std::string Show(const Json::Value& aValue);

/// A key of a mapping.
template<typename T>
struct KeySpec
{
  std::string m_name;
  ValueSpec m_value;
  /// Null: the key is required.
  Json::Value m_default;
  std::string m_doc;
  /// Takes a checked value.
  std::function<void(T&, const Json::Value&)> m_assign;
  std::function<Json::Value(const T&)> m_read;
  bool m_optional = false;
};

/// Checks a mapping against its keys and fills a struct.
/// @param aJson the mapping.
/// @param aPath where it stands.
/// @param aKeys its keys; those that are absent get their default.
/// @param aValue receives the checked values; incomplete if a problem is reported.
template<typename T>
void ReadMapping(const Json::Value& aJson,
                 const JsonPath& aPath,
                 const std::vector<KeySpec<T>>& aKeys,
                 T& aValue,
                 Reporter& aReporter);

/// @return the member names that no key has.
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

/// @return the path with one more part.
inline JsonPath Below(JsonPath aPath, std::string aPart)
{
  aPath.push_back(std::move(aPart));
  return aPath;
}

/// Checks one value and assigns it if nothing is wrong with it.
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
    aReporter.Error(Below(aPath, name), "expected a known key; this one is unknown");
  }
  for (const KeySpec<T>& key : aKeys) {
    if (aJson.isMember(key.m_name)) {
      ReadKey(key, aJson[key.m_name], Below(aPath, key.m_name), aValue, aReporter);
    } else if (!key.m_default.isNull()) {
      key.m_assign(aValue, key.m_default);
    } else if (!key.m_optional) {
      aReporter.Error(Below(aPath, key.m_name),
                      "expected " + key.m_value.m_expected + "; the key is missing");
    }
  }
}

} // namespace jaylane::settings
