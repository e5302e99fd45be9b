#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/peer/PeerError.h"

#include <charconv>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace jaylane::peer {

/// Reads fields of a JSON object. Remembers whether one was missing or had the wrong type; reads
/// after that return empty values, and Finish() returns an error.
class FieldReader
{
public:
  explicit FieldReader(const Json::Value& aJson)
    : m_json(aJson)
    , m_ok(aJson.isObject())
  {
  }

  /// @return whether the field is there; VMs of older versions lack some.
  bool Has(const char* aName) const { return m_ok && m_json.isMember(aName); }

  std::string Text(const char* aName)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isString();
    return m_ok ? value.asString() : std::string();
  }

  std::uint64_t Number(const char* aName)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isUInt64();
    return m_ok ? value.asUInt64() : 0;
  }

  bool Flag(const char* aName)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isBool();
    return m_ok && value.asBool();
  }

  /// Reads a number written as hexadecimal text. Many JSON parsers round integers above 2^53, so
  /// that the low bits of larger ones would be lost.
  std::uint64_t Hex(const char* aName)
  {
    const std::string text = Text(aName);
    std::uint64_t number = 0;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number, 16);
    m_ok = m_ok && parsed.ec == std::errc{} && parsed.ptr == last;
    return number;
  }

  /// Calls a function with a reader for each object in an array.
  template<typename Function>
  void ForEachObject(const char* aName, Function aFunction)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      FieldReader element(value[i]);
      aFunction(element);
      m_ok = element.m_ok;
    }
  }

  /// Calls a function for each element of an array, which need not be an object.
  /// @param aFunction returns whether the element is well formed.
  template<typename Function>
  void ForEachValue(const char* aName, Function aFunction)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      m_ok = aFunction(value[i]);
    }
  }

  std::vector<std::string> Texts(const char* aName)
  {
    std::vector<std::string> texts;
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      m_ok = value[i].isString();
      texts.push_back(m_ok ? value[i].asString() : std::string());
    }
    return texts;
  }

  std::vector<std::uint64_t> Numbers(const char* aName)
  {
    std::vector<std::uint64_t> numbers;
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      m_ok = value[i].isUInt64();
      numbers.push_back(m_ok ? value[i].asUInt64() : 0);
    }
    return numbers;
  }

  /// @param aValue what was decoded from the fields.
  /// @return the value, or Malformed.
  template<typename Value>
  base::Result<Value> Finish(Value aValue) const
  {
    if (!m_ok) {
      return base::Error{ make_error_code(PeerErrc::Malformed), {} };
    }
    return aValue;
  }

  /// Marks the object as malformed, for a field whose type is right but whose value is not.
  void Fail() { m_ok = false; }

private:
  const Json::Value& Field(const char* aName) const
  {
    return m_json.isObject() ? m_json[aName] : Json::Value::nullSingleton();
  }

  const Json::Value& m_json;
  bool m_ok;
};

} // namespace jaylane::peer
