#include "jaylane/base/JsonText.h"

#include <exception>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace jaylane::base {

namespace {

// Limit on nesting. The messages and documents in use have at most 7 levels.
constexpr int kMaxDepth = 32;

/// @return options of a reader that rejects all but plain JSON.
Json::CharReaderBuilder MakeReaderBuilder()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxDepth;
  return builder;
}

} // namespace

std::string WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Result<Json::Value> ParseJson(std::string_view aText)
{
  // Building the options takes longer than parsing a short text.
  static const Json::CharReaderBuilder kBuilder = MakeReaderBuilder();
  const std::unique_ptr<Json::CharReader> reader(kBuilder.newCharReader());
  Json::Value value;
  std::string problems;
  try {
    if (reader->parse(aText.data(), aText.data() + aText.size(), &value, &problems)) {
      return value;
    }
  } catch (const std::exception& error) {
    problems = error.what();
  }
  return Error{ BaseErrc::InvalidValue, problems };
}

} // namespace jaylane::base
