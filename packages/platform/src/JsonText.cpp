#include "jaylane/platform/JsonText.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace jaylane::platform {

std::string WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

std::optional<Json::Value> ParseJsonObject(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &value, nullptr) ||
        !value.isObject()) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // jsoncpp throws instead of returning false when the nesting is too deep.
    return std::nullopt;
  }
  return value;
}

} // namespace jaylane::platform
