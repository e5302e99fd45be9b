#include "jaylane/base/Log.h"

#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/writer.h>
#include <utility>

namespace jaylane::base {

namespace {

std::string_view LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "unknown";
}

std::string Timestamp(WallTime aTime)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto millis = duration_cast<milliseconds>(aTime.time_since_epoch()).count();
  const auto seconds = std::chrono::system_clock::to_time_t(aTime);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), millis % 1000);
}

} // namespace

Log::Log(std::string aProcess, const Clock& aClock, LogLevel aLevel)
  : m_process(std::move(aProcess))
  , m_clock(aClock)
  , m_level(aLevel)
{
}

void Log::Write(LogLevel aLevel, std::string_view aMessage, const Json::Value& aFields) const
{
  if (aLevel < m_level) {
    return;
  }
  Json::Value record(aFields);
  record["time"] = Timestamp(m_clock.Wall());
  record["level"] = std::string(LevelName(aLevel));
  record["process"] = m_process;
  record["message"] = std::string(aMessage);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  // A single write per record keeps the lines of concurrent threads from mixing.
  fmt::print(stderr, "{}\n", Json::writeString(builder, record));
}

} // namespace jaylane::base
