#include "jaylane/settings/JsonText.h"

#include "jaylane/settings/SettingsError.h"

#include <exception>
#include <json/reader.h>
#include <memory>

namespace jaylane::settings {

namespace {
/// Documents of this package nest at most 7 levels.
constexpr int kMaxDepth = 32;
} // namespace

base::Result<Json::Value> ParseJson(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problems;
  try {
    if (reader->parse(aText.data(), aText.data() + aText.size(), &value, &problems)) {
      return value;
    }
  } catch (const std::exception& error) {
    problems = error.what();
  }
  return base::Error{ SettingsErrc::MalformedDocument, problems };
}

} // namespace jaylane::settings
