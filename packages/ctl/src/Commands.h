#pragma once

#include "jaylane/ctl/Ctl.h"
#include "jaylane/ctl/EditSubmitter.h"
#include "jaylane/settings/SettingsTree.h"

#include <string>
#include <vector>

namespace jaylane::ctl {

/// Arguments after the name of the command.
using Arguments = std::vector<std::string>;

ExitCode RunGet(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunHistory(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunStatus(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunSet(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunUnset(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunApply(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunDrain(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunUndrain(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunDiff(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunPlan(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunTimeline(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunCheck(const Arguments& aArguments, CtlContext& aContext);
ExitCode RunReference(const Arguments& aArguments, CtlContext& aContext);

/// Settings tree that a VM has received last, with its generation.
struct CurrentTree
{
  std::uint64_t m_generation = 0;
  settings::SettingsTree m_tree;
};

/// Changes that make the current tree equal to a file.
struct FileChanges
{
  /// Generation that the file was exported from, or the current one if the file does not name it.
  std::uint64_t m_baseGeneration = 0;
  std::vector<settings::Change> m_changes;
};

/// Start of the first line of an exported tree; the generation follows. `apply` uses it as base
/// generation, so that later edits of others conflict instead of being reverted.
inline constexpr const char* kGenerationComment = "# jaylane-generation: ";

/// Prints the error of a response that did not succeed.
/// @return exit code for the response.
ExitCode ReportFailure(const AdminClientResponse& aResponse, CtlContext& aContext);

/// Prints the usage of a command.
/// @return ExitCode::Usage.
ExitCode ReportUsage(const std::string& aUsage, CtlContext& aContext);

/// Reads the current tree from a VM, or prints an error.
/// @return Ok if the tree was read.
ExitCode ReadCurrentTree(CurrentTree& aCurrent, CtlContext& aContext);

/// Compares a tree file with the current tree. Prints the problems of the file and, unless the
/// output format is JSON, the changes.
/// @return Ok if the file is valid and the current tree could be read.
ExitCode ReadFileChanges(const std::string& aFile, FileChanges& aChanges, CtlContext& aContext);

/// Parses "set PATH KEY VALUE" and "unset PATH KEY".
/// @return whether the arguments are valid.
bool ParseChange(const Arguments& aArguments, settings::Change& aChange);

/// Prints the outcome of an edit.
/// @return exit code for the outcome.
ExitCode ReportEdit(const EditReport& aReport, CtlContext& aContext);

/// Polls until every running VM reports the generation as in effect. Prints the VMs that do not
/// report it before the timeout.
/// @return Ok or NotInEffect.
ExitCode WaitForEffect(std::uint64_t aGeneration, CtlContext& aContext);

/// @return one line per change.
std::string FormatChanges(const std::vector<settings::Change>& aChanges,
                          const settings::SettingsTree& aCurrent);

} // namespace jaylane::ctl
