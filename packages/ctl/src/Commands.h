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

/// The tree in effect.
struct CurrentTree
{
  std::uint64_t m_generation = 0;
  settings::SettingsTree m_tree;
};

/// Changes that a file asks for.
struct FileChanges
{
  /// Generation that the file was made from, or the current one if it does not say.
  std::uint64_t m_baseGeneration = 0;
  std::vector<settings::Change> m_changes;
};

/// First line of an exported tree; tells `apply` which edits the file's author did not know.
inline constexpr const char* kGenerationComment = "# jaylane-generation: ";

/// Prints the problem of a reply.
/// @return its exit code.
ExitCode ReportFailure(const AdminReply& aReply, CtlContext& aContext);

/// Prints how to call a command.
ExitCode ReportUsage(const std::string& aUsage, CtlContext& aContext);

/// Reads the tree from a VM; prints the problem if that fails.
/// @return Ok if the tree was read.
ExitCode ReadCurrent(CurrentTree& aCurrent, CtlContext& aContext);

/// Compares a tree file with the current tree; prints problems.
/// @return Ok if the changes were found.
ExitCode ReadFileChanges(const std::string& aFile, FileChanges& aChanges, CtlContext& aContext);

/// Interprets "set PATH KEY VALUE" and "unset PATH KEY".
/// @return whether the arguments are complete.
bool ParseChange(const Arguments& aArguments, settings::Change& aChange);

/// Prints the outcome of an edit.
ExitCode ReportEdit(const EditReport& aReport, CtlContext& aContext);

/// Waits until every live VM reports a generation in effect; prints those that do not.
ExitCode WaitForEffect(std::uint64_t aGeneration, CtlContext& aContext);

/// @return one line per change.
std::string ShowChanges(const std::vector<settings::Change>& aChanges,
                        const settings::SettingsTree& aCurrent);

} // namespace jaylane::ctl
