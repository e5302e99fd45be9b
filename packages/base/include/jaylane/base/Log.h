#pragma once

#include "jaylane/base/Clock.h"

#include <json/value.h>
#include <string>
#include <string_view>

namespace jaylane::base {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Writes log records to standard error, one JSON object per line. Thread safe.
class Log
{
public:
  /// @param aProcess id of the VM or tool, part of each record.
  /// @param aClock source of the time in each record; must outlive this.
  /// @param aLevel records below this level are dropped.
  Log(std::string aProcess, const Clock& aClock, LogLevel aLevel = LogLevel::Info);

  /// @param aLevel severity.
  /// @param aMessage plain sentence without variable parts, so that records can be counted by it.
  /// @param aFields JSON object with the variable parts; must hold no secrets.
  void Write(LogLevel aLevel,
             std::string_view aMessage,
             const Json::Value& aFields = Json::objectValue) const;

  void Info(std::string_view aMessage, const Json::Value& aFields = Json::objectValue) const
  {
    Write(LogLevel::Info, aMessage, aFields);
  }
  void Warning(std::string_view aMessage, const Json::Value& aFields = Json::objectValue) const
  {
    Write(LogLevel::Warning, aMessage, aFields);
  }
  void Error(std::string_view aMessage, const Json::Value& aFields = Json::objectValue) const
  {
    Write(LogLevel::Error, aMessage, aFields);
  }

private:
  const std::string m_process;
  const Clock& m_clock;
  const LogLevel m_level;
};

} // namespace jaylane::base
