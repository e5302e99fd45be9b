#include "JsonText.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace jaylane::entry {

std::string WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

std::optional<Json::Value> ParseJson(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  if (!reader->parse(aText.data(), aText.data() + aText.size(), &value, nullptr)) {
    return std::nullopt;
  }
  return value;
}

} // namespace jaylane::entry
