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
  /// Invalid command line; Abseil exits with the same code on an invalid flag.
  Usage = 1,
  /// The edit or request was rejected.
  Rejected = 2,
  /// The edit may have been accepted or not; asking for its status did not resolve this.
  Unknown = 3,
  /// No VM responded, or none could reach the store. Nothing was changed.
  Unreachable = 4,
  /// A file has errors.
  InvalidFile = 5,
  /// The edit was accepted, but some VMs did not report it as in effect before the timeout.
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
  /// Print settings after inheritance.
  bool m_effective = false;
  /// Wait until the edit is in effect on every live VM.
  bool m_wait = false;
  /// Only validate the file that is the last argument.
  bool m_check = false;
  std::chrono::milliseconds m_waitTimeout{ 30'000 };
  /// "text", "json" or "html".
  std::string m_timelineFormat = "text";
  /// Kinds of timeline events to print; empty for all.
  std::vector<std::string> m_kinds;
  /// Id of an earlier edit to query and, if it was not accepted, to send again; empty for a new
  /// edit.
  std::string m_editId;
  /// Generation that the edit is based on; nullopt to derive it from the file or the current tree.
  std::optional<std::uint64_t> m_baseGeneration;
};

/// Flags and dependencies of the commands; tests replace the dependencies.
struct CtlContext
{
  Fleet& m_fleet;
  CtlOptions m_options;
  std::ostream& m_out;
  std::ostream& m_err;
  const base::Clock& m_clock;
  std::function<void(std::chrono::milliseconds)> m_sleep;
  /// Generates a unique id for an edit.
  std::function<std::string()> m_newId;
};

/// Runs one command.
/// @param aArguments name of the command and its arguments, without flags.
ExitCode RunCommand(const std::vector<std::string>& aArguments, CtlContext& aContext);

/// @return whether a command works without VMs and without a token.
bool IsOffline(const std::vector<std::string>& aArguments, const CtlOptions& aOptions);

/// @return help text with commands and exit codes.
std::string UsageText();

} // namespace jaylane::ctl
