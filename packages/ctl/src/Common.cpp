#include "Commands.h"
#include "Text.h"

#include <charconv>
#include <fmt/format.h>
#include <fstream>

namespace jaylane::ctl {

namespace {

/// @return the generation in the first line of an exported file, or nullopt if there is none.
std::optional<std::uint64_t> ReadGenerationComment(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::string line;
  const std::string prefix = kGenerationComment;
  if (!std::getline(file, line) || !line.starts_with(prefix)) {
    return std::nullopt;
  }
  std::uint64_t generation = 0;
  const char* end = line.data() + line.size();
  const auto [at, error] = std::from_chars(line.data() + prefix.size(), end, generation);
  return error == std::errc() && at == end ? std::optional(generation) : std::nullopt;
}

} // namespace

ExitCode ReportFailure(const AdminClientResponse& aResponse, CtlContext& aContext)
{
  aContext.m_err << "error: " << Printable(aResponse.Explain()) << "\n";
  const bool rejected = aResponse.m_delivery == Delivery::Answered && aResponse.m_status >= 400 &&
                        aResponse.m_status < 500;
  if (rejected) {
    for (const Json::Value& entry : aResponse.m_body["error"]["diagnostics"]) {
      aContext.m_err << "  " << Printable(entry["key"].asString()) << ": "
                     << Printable(entry["message"].asString()) << "\n";
    }
  }
  return rejected ? ExitCode::Rejected : ExitCode::Unreachable;
}

ExitCode ReportUsage(const std::string& aUsage, CtlContext& aContext)
{
  aContext.m_err << "usage: jaylanectl " << aUsage << "\n";
  return ExitCode::Usage;
}

ExitCode ReadCurrentTree(CurrentTree& aCurrent, CtlContext& aContext)
{
  const AdminClientResponse response = aContext.m_fleet.Get("/v1/settings");
  if (response.ErrorCode() == "no-settings") {
    // Starts from an empty tree of generation 0, so that an edit can create the first generation.
    // If the store has settings that this VM has not received yet, the edit conflicts with them.
    aCurrent = {};
    return ExitCode::Ok;
  }
  if (!response.Succeeded()) {
    return ReportFailure(response, aContext);
  }
  const auto tree = settings::SettingsTree::FromJson(response.m_body["tree"]);
  if (!tree || !response.m_body["generation"].isUInt64()) {
    aContext.m_err << "error: the VM's settings are not readable by this version of jaylanectl\n"
                   << settings::ToString(tree.m_diagnostics);
    return ExitCode::Unreachable;
  }
  aCurrent = { response.m_body["generation"].asUInt64(), *tree };
  return ExitCode::Ok;
}

ExitCode ReadFileChanges(const std::string& aFile, FileChanges& aChanges, CtlContext& aContext)
{
  const auto target = settings::SettingsTree::LoadYaml(aFile);
  aContext.m_err << settings::ToString(target.m_diagnostics);
  if (!target) {
    return ExitCode::InvalidFile;
  }
  CurrentTree current;
  if (const ExitCode code = ReadCurrentTree(current, aContext); code != ExitCode::Ok) {
    return code;
  }
  // With the generation of the export as base, the server rejects the edit if it would revert a
  // change that someone else made since.
  aChanges.m_baseGeneration = aContext.m_options.m_baseGeneration.value_or(
    ReadGenerationComment(aFile).value_or(current.m_generation));
  aChanges.m_changes = current.m_tree.Diff(*target);
  if (aContext.m_options.m_output == OutputFormat::Table) {
    aContext.m_out << FormatChanges(aChanges.m_changes, current.m_tree);
  }
  return ExitCode::Ok;
}

bool ParseChange(const Arguments& aArguments, settings::Change& aChange)
{
  if (aArguments.size() == 4 && aArguments[0] == "set") {
    aChange = { aArguments[1], aArguments[2], ParseJsonOrText(aArguments[3]) };
    // A null value would remove the key; "unset" does that.
    return !aChange.m_value->isNull();
  }
  if (aArguments.size() == 3 && aArguments[0] == "unset") {
    aChange = { aArguments[1], aArguments[2], std::nullopt };
    return true;
  }
  return false;
}

std::string FormatChanges(const std::vector<settings::Change>& aChanges,
                          const settings::SettingsTree& aCurrent)
{
  std::string text;
  for (const settings::Change& change : aChanges) {
    const std::optional<Json::Value> old = aCurrent.Find(change.m_path, change.m_key);
    text += fmt::format("{} {}: {} -> {}\n",
                        Printable(change.m_path),
                        Printable(change.m_key),
                        old ? CompactJson(*old) : "(unset)",
                        change.m_value ? CompactJson(*change.m_value) : "(unset)");
  }
  return text;
}

} // namespace jaylane::ctl
