#include "jaylane/ctl/Ctl.h"

#include "Commands.h"

#include <json/value.h>

namespace jaylane::ctl {

namespace {

struct Command
{
  const char* m_name;
  ExitCode (*m_run)(const Arguments&, CtlContext&);
  /// Whether the command needs neither a VM nor a token.
  bool m_offline;
  const char* m_help;
};

constexpr Command kCommands[] = {
  { "get",
    RunGet,
    false,
    "get [--effective] [PATH [KEY]]   settings; without PATH the whole tree" },
  { "set", RunSet, false, "set PATH KEY VALUE               VALUE is JSON, or text if it is not" },
  { "unset", RunUnset, false, "unset PATH KEY" },
  { "diff", RunDiff, false, "diff FILE                        what apply would change" },
  { "plan", RunPlan, false, "plan FILE | plan set ... | plan unset ...   outcome and effects" },
  { "apply", RunApply, false, "apply FILE [--wait]              make the tree equal to FILE" },
  { "history", RunHistory, false, "history                          last accepted edits" },
  { "status", RunStatus, false, "status                           all VMs and their generation" },
  { "drain",
    RunDrain,
    false,
    "drain SITE                       REGION/ZONE, region:R, upstream:ID" },
  { "undrain", RunUndrain, false, "undrain SITE" },
  { "timeline", RunTimeline, false, "timeline [--format text|json|html] [--kinds KIND,...]" },
  { "check",
    RunCheck,
    true,
    "check FILE                       validates a tree or VM file offline" },
  { "reference",
    RunReference,
    true,
    "reference                        all keys, as docs/settings.md" },
};

const Command* Find(const std::vector<std::string>& aArguments)
{
  for (const Command& command : kCommands) {
    if (!aArguments.empty() && aArguments[0] == command.m_name) {
      return &command;
    }
  }
  return nullptr;
}

} // namespace

ExitCode RunCommand(const std::vector<std::string>& aArguments, CtlContext& aContext)
{
  if (aContext.m_options.m_check) {
    // The file is the last argument of both "--check FILE" and "apply FILE --check".
    const Arguments file = aArguments.empty() ? Arguments() : Arguments{ aArguments.back() };
    return RunCheck(file, aContext);
  }
  const Command* command = Find(aArguments);
  if (!command) {
    aContext.m_err << UsageText();
    return ExitCode::Usage;
  }
  try {
    return command->m_run({ aArguments.begin() + 1, aArguments.end() }, aContext);
  } catch (const Json::Exception& error) {
    // A member of a response has a type that is not documented. The request may have taken effect.
    aContext.m_err << "error: unexpected response: " << error.what() << "\n";
    return ExitCode::Unknown;
  }
}

bool IsOffline(const std::vector<std::string>& aArguments, const CtlOptions& aOptions)
{
  const Command* command = Find(aArguments);
  return aOptions.m_check || !command || command->m_offline;
}

std::string UsageText()
{
  std::string text = "usage: jaylanectl [flags] COMMAND\n\ncommands:\n";
  for (const Command& command : kCommands) {
    text += std::string("  ") + command.m_help + "\n";
  }
  return text + R"(
flags:
  --vms=HOST:PORT,...     administration addresses, tried in order (or JAYLANE_VMS)
  --token_file=FILE       file with the token (or the token itself in JAYLANE_TOKEN)
  --output=table|json     format of the output
  --timeout_ms=N          longest duration of one request
  --wait                  after an edit, wait until it is in effect on every live VM
  --wait_seconds=N        longest wait
  --base_generation=N     generation that the edit is based on; default: the current one, or
                          that of the first line of an exported FILE
  --edit_id=ID            ask for, or repeat, an earlier edit; needs its --base_generation
  --check                 only validate the FILE that is the last argument
  Arguments that start with "-" go after "--".

exit codes:
  0 success            1 wrong usage        2 rejected      3 outcome unknown
  4 no VM or store     5 file has errors    6 accepted, but not in effect everywhere in time
)";
}

} // namespace jaylane::ctl
