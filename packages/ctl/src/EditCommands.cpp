#include "Commands.h"
#include "Text.h"
#include "jaylane/settings/Edit.h"

#include <algorithm>
#include <fmt/format.h>

namespace jaylane::ctl {

namespace {

/// Time between two polls of all VMs while waiting for an edit to take effect.
constexpr std::chrono::milliseconds kPollInterval{ 200 };

const char* OutcomeName(EditOutcome aOutcome)
{
  switch (aOutcome) {
    case EditOutcome::Accepted:
      return "accepted";
    case EditOutcome::Rejected:
      return "rejected";
    case EditOutcome::Unknown:
      return "unknown";
    case EditOutcome::NotSent:
      break;
  }
  return "not-sent";
}

ExitCode ExitCodeOf(EditOutcome aOutcome)
{
  switch (aOutcome) {
    case EditOutcome::Accepted:
      return ExitCode::Ok;
    case EditOutcome::Rejected:
      return ExitCode::Rejected;
    case EditOutcome::Unknown:
      return ExitCode::Unknown;
    case EditOutcome::NotSent:
      break;
  }
  return ExitCode::Unreachable;
}

std::string FormatValue(const Json::Value& aValue)
{
  return aValue.isNull() ? "(unset)" : CompactJson(aValue);
}

void PrintRejection(const Json::Value& aError, std::ostream& aOut)
{
  aOut << "rejected: " << Printable(aError["code"].asString()) << ": "
       << Printable(aError["message"].asString()) << "\n";
  if (aError["code"] == "conflict") {
    aOut << "  key:    " << Printable(aError["path"].asString()) << " "
         << Printable(aError["key"].asString()) << "\n"
         << "  yours:  " << FormatValue(aError["yours"]) << "\n"
         << "  theirs: " << FormatValue(aError["theirs"]) << " by "
         << Printable(aError["who"].asString()) << " at " << Printable(aError["at"].asString())
         << ", generation " << FormatValue(aError["generation"]) << "\n";
  }
  for (const Json::Value& entry : aError["diagnostics"]) {
    aOut << "  " << Printable(entry["severity"].asString()) << ": "
         << Printable(entry["key"].asString()) << ": " << Printable(entry["message"].asString())
         << "\n";
  }
}

Json::Value ToJson(const EditReport& aReport)
{
  Json::Value json(Json::objectValue);
  json["outcome"] = OutcomeName(aReport.m_outcome);
  json["id"] = aReport.m_id;
  json["base_generation"] = Json::UInt64(aReport.m_baseGeneration);
  if (aReport.m_outcome == EditOutcome::Accepted) {
    json["generation"] = Json::UInt64(aReport.m_generation);
    json["warnings"] = aReport.m_warnings;
  } else if (aReport.m_outcome == EditOutcome::Rejected) {
    json["error"] = aReport.m_error;
  } else {
    json["problem"] = aReport.m_problem;
  }
  return json;
}

/// Sends an edit. If --edit_id names an earlier edit, its status is queried first, and it is sent
/// again only if it is not known to be accepted.
EditReport SendEdit(const std::string& aPath, Json::Value aBody, CtlContext& aContext)
{
  EditSubmitter submitter(aContext.m_fleet);
  const std::string& earlier = aContext.m_options.m_editId;
  aBody["id"] = earlier.empty() ? aContext.m_newId() : earlier;
  if (!earlier.empty()) {
    EditReport report = submitter.ReadBack(earlier, aBody["base_generation"].asUInt64());
    if (report.m_outcome == EditOutcome::Accepted) {
      return report;
    }
  }
  return submitter.Submit(aPath, aBody);
}

/// Determines the base generation of an edit that does not come from a file.
/// @param aGeneration receives the generation if Ok is returned.
ExitCode FindBaseGeneration(std::uint64_t& aGeneration, CtlContext& aContext)
{
  if (aContext.m_options.m_baseGeneration) {
    aGeneration = *aContext.m_options.m_baseGeneration;
    return ExitCode::Ok;
  }
  if (!aContext.m_options.m_editId.empty()) {
    aContext.m_err << "error: --edit_id needs the --base_generation of that edit\n";
    return ExitCode::Usage;
  }
  CurrentTree current;
  const ExitCode code = ReadCurrentTree(current, aContext);
  aGeneration = current.m_generation;
  return code;
}

ExitCode Submit(const std::string& aPath, const Json::Value& aBody, CtlContext& aContext)
{
  const EditReport report = SendEdit(aPath, aBody, aContext);
  const ExitCode code = ReportEdit(report, aContext);
  if (code == ExitCode::Ok && aContext.m_options.m_wait) {
    return WaitForEffect(report.m_generation, aContext);
  }
  return code;
}

ExitCode RunChange(const Arguments& aArguments, const char* aUsage, CtlContext& aContext)
{
  settings::Change change;
  if (!ParseChange(aArguments, change)) {
    return ReportUsage(aUsage, aContext);
  }
  std::uint64_t generation = 0;
  if (const ExitCode code = FindBaseGeneration(generation, aContext); code != ExitCode::Ok) {
    return code;
  }
  Json::Value body(Json::objectValue);
  body["base_generation"] = Json::UInt64(generation);
  body["changes"] = settings::ToJson(std::vector{ change });
  return Submit("/v1/edits", body, aContext);
}

/// @return the arguments as ParseChange() expects them, starting with the name of the command.
Arguments PrependName(const char* aName, const Arguments& aArguments)
{
  Arguments arguments{ aName };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  return arguments;
}

ExitCode ChangeDrain(const Arguments& aArguments, bool aRemove, CtlContext& aContext)
{
  if (aArguments.size() != 1) {
    return ReportUsage(aRemove ? "undrain SITE" : "drain SITE", aContext);
  }
  std::uint64_t generation = 0;
  if (const ExitCode code = FindBaseGeneration(generation, aContext); code != ExitCode::Ok) {
    return code;
  }
  const std::string& target = aArguments[0];
  const std::size_t colon = target.find(':');
  const std::string scope = colon == std::string::npos ? "site" : target.substr(0, colon);
  Json::Value body(Json::objectValue);
  body["base_generation"] = Json::UInt64(generation);
  body[scope] = colon == std::string::npos ? target : target.substr(colon + 1);
  if (!aRemove) {
    body["since"] = settings::FormatTime(aContext.m_clock.Wall());
  }
  return Submit(aRemove ? "/v1/undrain" : "/v1/drain", body, aContext);
}

/// @return whether the VM reports the generation, or a later one, as in effect.
bool ReportsInEffect(const VmInfo& aVm, std::uint64_t aGeneration, Fleet& aFleet)
{
  // The generation in effect never decreases, so an old report is sufficient.
  if (aVm.m_generationInEffect >= aGeneration) {
    return true;
  }
  if (aVm.m_adminAddress.empty()) {
    return false;
  }
  const AdminClientResponse response =
    aFleet.Client().Send(aVm.m_adminAddress, { "GET", "/v1/status", {} });
  return response.Succeeded() && response.m_body["generation_in_effect"].isUInt64() &&
         response.m_body["generation_in_effect"].asUInt64() >= aGeneration;
}

} // namespace

ExitCode ReportEdit(const EditReport& aReport, CtlContext& aContext)
{
  if (aContext.m_options.m_output == OutputFormat::Json) {
    aContext.m_out << IndentedJson(ToJson(aReport));
    return ExitCodeOf(aReport.m_outcome);
  }
  switch (aReport.m_outcome) {
    case EditOutcome::Accepted:
      aContext.m_out << "accepted: generation " << aReport.m_generation << "\n";
      for (const Json::Value& entry : aReport.m_warnings) {
        aContext.m_out << "  warning: " << Printable(entry["key"].asString()) << ": "
                       << Printable(entry["message"].asString()) << "\n";
      }
      break;
    case EditOutcome::Rejected:
      PrintRejection(aReport.m_error, aContext.m_out);
      break;
    case EditOutcome::Unknown:
      aContext.m_out << "unknown: " << Printable(aReport.m_problem) << "\n"
                     << fmt::format(
                          "  ask again: the same command with --edit_id={} --base_generation={}\n",
                          aReport.m_id,
                          aReport.m_baseGeneration);
      break;
    case EditOutcome::NotSent:
      aContext.m_out << "not sent: " << Printable(aReport.m_problem) << "\n";
      break;
  }
  return ExitCodeOf(aReport.m_outcome);
}

ExitCode WaitForEffect(std::uint64_t aGeneration, CtlContext& aContext)
{
  const auto deadline = aContext.m_clock.Monotonic() + aContext.m_options.m_waitTimeout;
  std::vector<VmInfo> vms;
  while (true) {
    // VMs may join and leave while the command waits.
    vms = aContext.m_fleet.Discover();
    const bool found = !vms.empty();
    std::erase_if(vms, [&](const VmInfo& aVm) {
      return aVm.m_state != "running" || ReportsInEffect(aVm, aGeneration, aContext.m_fleet);
    });
    if (found && vms.empty()) {
      if (aContext.m_options.m_output == OutputFormat::Table) {
        aContext.m_out << "in effect on every live VM: generation " << aGeneration << "\n";
      }
      return ExitCode::Ok;
    }
    if (aContext.m_clock.Monotonic() >= deadline) {
      break;
    }
    aContext.m_sleep(kPollInterval);
  }
  if (vms.empty()) {
    aContext.m_err << "generation " << aGeneration << ": no VM answered\n";
  }
  for (const VmInfo& vm : vms) {
    aContext.m_err << "generation " << aGeneration << " not in effect: " << Printable(vm.m_id)
                   << " (" << Printable(vm.m_zone) << ", " << Printable(vm.m_adminAddress) << ")\n";
  }
  return ExitCode::NotInEffect;
}

ExitCode RunSet(const Arguments& aArguments, CtlContext& aContext)
{
  return RunChange(PrependName("set", aArguments), "set PATH KEY VALUE", aContext);
}

ExitCode RunUnset(const Arguments& aArguments, CtlContext& aContext)
{
  return RunChange(PrependName("unset", aArguments), "unset PATH KEY", aContext);
}

ExitCode RunApply(const Arguments& aArguments, CtlContext& aContext)
{
  if (aArguments.size() != 1) {
    return ReportUsage("apply FILE [--wait]", aContext);
  }
  FileChanges changes;
  if (const ExitCode code = ReadFileChanges(aArguments[0], changes, aContext);
      code != ExitCode::Ok) {
    return code;
  }
  if (changes.m_changes.empty() && aContext.m_options.m_editId.empty()) {
    aContext.m_err << "no change\n";
    return ExitCode::Ok;
  }
  Json::Value body(Json::objectValue);
  body["base_generation"] = Json::UInt64(changes.m_baseGeneration);
  body["changes"] = settings::ToJson(changes.m_changes);
  return Submit("/v1/edits", body, aContext);
}

ExitCode RunDrain(const Arguments& aArguments, CtlContext& aContext)
{
  return ChangeDrain(aArguments, false, aContext);
}

ExitCode RunUndrain(const Arguments& aArguments, CtlContext& aContext)
{
  return ChangeDrain(aArguments, true, aContext);
}

} // namespace jaylane::ctl
