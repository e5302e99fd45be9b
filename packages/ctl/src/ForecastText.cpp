#include "ForecastText.h"

#include "Text.h"

#include <fmt/format.h>

namespace jaylane::ctl {

namespace {

constexpr const char* kRowFormat = "  {:<20} {:<13} {:>5} {:>7} {}\n";

std::string FormatPercent(const Json::Value& aShare)
{
  return fmt::format("{:.1f}%", 100 * aShare.asDouble());
}

std::string FormatUse(const Json::Value& aList, const char* aName)
{
  std::string text;
  for (const Json::Value& entry : aList) {
    text += fmt::format(" {} {}", Printable(entry[aName].asString()), FormatPercent(entry["use"]));
  }
  return fmt::format("    peak use of {}s:{}\n", aName, text);
}

std::string FormatLinks(const Json::Value& aList)
{
  std::string text;
  for (const Json::Value& entry : aList) {
    text += fmt::format(" {}>{} {:.2f}",
                        Printable(entry["from"].asString()),
                        Printable(entry["to"].asString()),
                        entry["load"].asDouble());
  }
  return text.empty() ? text : fmt::format("    peak load between regions, in slots:{}\n", text);
}

std::string FormatService(const Json::Value& aEntry)
{
  const std::string service = Printable(aEntry["service"].asString());
  if (aEntry.isMember("problem")) {
    return fmt::format(
      "  {:<20} no forecast: {}\n", service, Printable(aEntry["problem"].asString()));
  }
  std::string text = fmt::format(fmt::runtime(kRowFormat),
                                 service,
                                 Printable(aEntry["state"].asString()),
                                 aEntry["steps"].size(),
                                 FormatPercent(aEntry["moved_share"]),
                                 Printable(aEntry["end_at"].asString()));
  const Json::Value& peak = aEntry["peak"];
  text += FormatUse(peak["sites"], "site") + FormatUse(peak["regions"], "region") +
          FormatLinks(peak["links"]);
  for (const Json::Value& law : aEntry["laws"]) {
    text += fmt::format("    law {} at {}: {} of the load refused\n",
                        Printable(law["id"].asString()),
                        Printable(law["effective_at"].asString()),
                        FormatPercent(law["refused_share"]));
  }
  return text;
}

} // namespace

std::string FormatForecast(const Json::Value& aForecast)
{
  if (aForecast.empty()) {
    return {};
  }
  std::string text =
    "forecast of the steering:\n" +
    fmt::format(fmt::runtime(kRowFormat), "service", "state", "steps", "moved", "end");
  for (const Json::Value& entry : aForecast) {
    text += FormatService(entry);
  }
  return text;
}

} // namespace jaylane::ctl
