#include "jaylane/settings/JsonText.h"

#include "jaylane/base/JsonText.h"
#include "jaylane/settings/SettingsError.h"

namespace jaylane::settings {

base::Result<Json::Value> ParseJson(std::string_view aText)
{
  auto parsed = base::ParseJson(aText);
  if (!parsed) {
    return base::Error{ SettingsErrc::MalformedDocument, parsed.GetError().m_detail };
  }
  return parsed;
}

} // namespace jaylane::settings
