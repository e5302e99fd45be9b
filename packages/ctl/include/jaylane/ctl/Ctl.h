#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/ctl/Fleet.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace jaylane::ctl {

/// Exit codes of jaylanectl.
enum class ExitCode
{
  Ok = 0,
  /// Wrong command line; Abseil exits with the same code on a wrong flag.
  Usage = 1,
  /// The edit or request was rejected.
  Rejected = 2,
  /// Whether the edit was accepted is unknown, also after reading back.
  Unknown = 3,
  /// No VM answered, or none could reach the store; nothing was changed.
  Unreachable = 4,
  /// A file has errors.
  InvalidFile = 5,
  /// The edit was accepted, but some VMs did not report it in effect in time.
  NotInEffect = 6,
};

enum class OutputFormat
{
  Table,
  Json,
};

/// Flags of the command line.
struct CtlOptions
{
  OutputFormat m_output = OutputFormat::Table;
  bool m_effective = false;
  bool m_wait = false;
  bool m_check = false;
  std::chrono::milliseconds m_waitTimeout{ 30'000 };
  std::string m_timelineFormat = "text";
  std::vector<std::string> m_kinds;
  /// Id of an earlier edit whose outcome is asked for; empty for a new edit.
  std::string m_editId;
  std::optional<std::uint64_t> m_baseGeneration;
};

/// What commands need from their surroundings.
struct CtlContext
{
  Fleet& m_fleet;
  CtlOptions m_options;
  std::ostream& m_out;
  std::ostream& m_err;
  const base::Clock& m_clock;
  std::function<void(std::chrono::milliseconds)> m_sleep;
  /// Makes ids for edits.
  std::function<std::string()> m_newId;
};

/// Runs one command.
/// @param aArguments command and its arguments, without flags.
ExitCode RunCommand(const std::vector<std::string>& aArguments, CtlContext& aContext);

/// @return whether a command works without VMs and without a token.
bool IsOffline(const std::vector<std::string>& aArguments, const CtlOptions& aOptions);

/// @return help text with commands and exit codes.
std::string UsageText();

} // namespace jaylane::ctl
