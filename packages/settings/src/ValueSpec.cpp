#include "ValueSpec.h"

#include <algorithm>
#include <fmt/format.h>
#include <json/writer.h>
#include <set>

namespace jaylane::settings {

namespace {

constexpr std::size_t kMaxShownChars = 60;
constexpr std::size_t kMaxIdentifierChars = 63;

bool IsAsciiAlphanumeric(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= 'A' && aChar <= 'Z');
}

/// @return spec of values that a predicate accepts; its diagnostics show the value.
ValueSpec Predicate(std::string aExpected, std::function<bool(const Json::Value&)> aAccepts)
{
  auto check = [aExpected, aAccepts = std::move(aAccepts)](
                 const Json::Value& aValue, const JsonPath& aPath, Reporter& aReporter) {
    if (!aAccepts(aValue)) {
      aReporter.Error(aPath,
                      fmt::format("expected {}, found {}", aExpected, AbbreviatedJson(aValue)));
    }
  };
  return { aExpected, check };
}

} // namespace

ValueSpec Integer(std::int64_t aMin, std::int64_t aMax)
{
  return Predicate(fmt::format("a whole number from {} to {}", aMin, aMax),
                   [aMin, aMax](const Json::Value& aValue) {
                     return aValue.isInt64() && !aValue.isBool() && aValue.asInt64() >= aMin &&
                            aValue.asInt64() <= aMax;
                   });
}

ValueSpec Number(double aMin, double aMax)
{
  return Predicate(fmt::format("a number from {} to {}", aMin, aMax),
                   [aMin, aMax](const Json::Value& aValue) {
                     return aValue.isNumeric() && !aValue.isBool() && aValue.asDouble() >= aMin &&
                            aValue.asDouble() <= aMax;
                   });
}

ValueSpec Boolean()
{
  return Predicate("true or false", [](const Json::Value& aValue) { return aValue.isBool(); });
}

ValueSpec Text(std::string aExpected, std::function<bool(const std::string&)> aAccepts)
{
  return Predicate(std::move(aExpected),
                   [aAccepts = std::move(aAccepts)](const Json::Value& aValue) {
                     return aValue.isString() && aAccepts(aValue.asString());
                   });
}

ValueSpec Secret(std::string aExpected, std::function<bool(const std::string&)> aAccepts)
{
  auto check = [aExpected, aAccepts = std::move(aAccepts)](
                 const Json::Value& aValue, const JsonPath& aPath, Reporter& aReporter) {
    if (!aValue.isString() || !aAccepts(aValue.asString())) {
      aReporter.Error(aPath, fmt::format("expected {}", aExpected));
    }
  };
  return { aExpected, check };
}

ValueSpec Identifier()
{
  return Text("a name of 1 to 63 letters, digits, \".\", \"_\" or \"-\"",
              [](const std::string& aText) { return IsIdentifier(aText); });
}

ValueSpec ListOf(ValueSpec aElement, std::size_t aMinSize)
{
  const std::string expected =
    fmt::format("a list of {} or more: {}", aMinSize, aElement.m_expected);
  auto check = [expected, aMinSize, element = std::move(aElement)](
                 const Json::Value& aValue, const JsonPath& aPath, Reporter& aReporter) {
    if (!aValue.isArray() || aValue.size() < aMinSize) {
      aReporter.Error(aPath, fmt::format("expected {}", expected));
      return;
    }
    std::set<std::string> seen;
    for (Json::ArrayIndex i = 0; i < aValue.size(); ++i) {
      const JsonPath path = ChildPath(aPath, std::to_string(i));
      element.m_check(aValue[i], path, aReporter);
      if (aValue[i].isString() && !seen.insert(aValue[i].asString()).second) {
        aReporter.Error(path, "expected each value once, found it again");
      }
    }
  };
  return { expected, check };
}

bool IsIdentifier(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdentifierChars && IsAsciiAlphanumeric(aText[0]) &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return IsAsciiAlphanumeric(aChar) || aChar == '.' || aChar == '_' || aChar == '-';
         });
}

std::string AbbreviatedJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  std::string text = Json::writeString(builder, aValue);
  if (text.size() > kMaxShownChars) {
    text = text.substr(0, kMaxShownChars) + "...";
  }
  return text;
}

std::vector<std::string> UnknownMembers(const Json::Value& aJson,
                                        const std::function<bool(const std::string&)>& aKnown)
{
  std::vector<std::string> unknown;
  for (const std::string& name : aJson.getMemberNames()) {
    if (!aKnown(name)) {
      unknown.push_back(name);
    }
  }
  return unknown;
}

} // namespace jaylane::settings
