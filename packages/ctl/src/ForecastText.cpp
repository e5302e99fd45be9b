#include "ForecastText.h"

#include "Text.h"

#include <fmt/format.h>

namespace jaylane::ctl {

namespace {

constexpr const char* kRow = "  {:<20} {:<13} {:>5} {:>7} {}\n";

std::string Percent(const Json::Value& aShare)
{
  return fmt::format("{:.1f}%", 100 * aShare.asDouble());
}

std::string ShowUses(const Json::Value& aList, const char* aName)
{
  std::string text;
  for (const Json::Value& entry : aList) {
    text += fmt::format(" {} {}", Printable(entry[aName].asString()), Percent(entry["use"]));
  }
  return fmt::format("    peak use of {}s:{}\n", aName, text);
}

std::string ShowLinks(const Json::Value& aList)
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

std::string ShowService(const Json::Value& aEntry)
{
  const std::string service = Printable(aEntry["service"].asString());
  if (aEntry.isMember("problem")) {
    return fmt::format(
      "  {:<20} no forecast: {}\n", service, Printable(aEntry["problem"].asString()));
  }
  std::string text = fmt::format(fmt::runtime(kRow),
                                 service,
                                 Printable(aEntry["state"].asString()),
                                 aEntry["steps"].size(),
                                 Percent(aEntry["moved_share"]),
                                 Printable(aEntry["end_at"].asString()));
  const Json::Value& peak = aEntry["peak"];
  text += ShowUses(peak["sites"], "site") + ShowUses(peak["regions"], "region") +
          ShowLinks(peak["links"]);
  for (const Json::Value& law : aEntry["laws"]) {
    text += fmt::format("    law {} at {}: {} of the load refused\n",
                        Printable(law["id"].asString()),
                        Printable(law["effective_at"].asString()),
                        Percent(law["refused_share"]));
  }
  return text;
}

} // namespace

std::string ShowForecast(const Json::Value& aForecast)
{
  if (aForecast.empty()) {
    return {};
  }
  std::string text = "forecast of the steering:\n" +
                     fmt::format(fmt::runtime(kRow), "service", "state", "steps", "moved", "end");
  for (const Json::Value& entry : aForecast) {
    text += ShowService(entry);
  }
  return text;
}

} // namespace jaylane::ctl
