#include "jaylane/platform/JsonText.h"

#include "jaylane/base/JsonText.h"

#include <utility>

namespace jaylane::platform {

std::string WriteJson(const Json::Value& aValue)
{
  return base::WriteJson(aValue);
}

std::optional<Json::Value> ParseJsonObject(std::string_view aText)
{
  auto parsed = base::ParseJson(aText);
  return parsed && parsed->isObject() ? std::optional(std::move(*parsed)) : std::nullopt;
}

} // namespace jaylane::platform
