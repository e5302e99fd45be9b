#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/peer/PeerError.h"

#include <charconv>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace jaylane::peer {

/// Reads fields of a JSON object and remembers whether any of them had the wrong form.
class FieldReader
{
public:
  explicit FieldReader(const Json::Value& aJson)
    : m_json(aJson)
    , m_ok(aJson.isObject())
  {
  }

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

  /// Reads a number written as hexadecimal text, since JSON numbers lose the low bits of large
  /// ones.
  std::uint64_t Hex(const char* aName)
  {
    const std::string text = Text(aName);
    std::uint64_t number = 0;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number, 16);
    m_ok = m_ok && parsed.ec == std::errc{} && parsed.ptr == last;
    return number;
  }

  template<typename Function>
  void Each(const char* aName, Function aFunction)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      FieldReader element(value[i]);
      aFunction(element);
      m_ok = element.m_ok;
    }
  }

  /// @param aFunction returns whether the element, which need not be an object, is well formed.
  template<typename Function>
  void EachValue(const char* aName, Function aFunction)
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

  template<typename Value>
  base::Result<Value> Finish(Value aValue) const
  {
    if (!m_ok) {
      return base::Error{ make_error_code(PeerErrc::Malformed), {} };
    }
    return aValue;
  }

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
