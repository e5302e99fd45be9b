#include "Commands.h"
#include "ForecastText.h"
#include "Text.h"
#include "jaylane/settings/Edit.h"
#include "jaylane/settings/SettingsReference.h"
#include "jaylane/settings/VmSettings.h"

#include <fmt/format.h>
#include <fstream>

namespace jaylane::ctl {

namespace {

/// @return whether a file is a settings tree rather than a VM settings file. Only a tree has lines
/// that start with the name of a section or with "nodes:".
bool LooksLikeTree(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::string line;
  while (std::getline(file, line)) {
    for (const char* section :
         { "regions:", "services:", "links:", "client_blocks:", "laws:", "drains:", "nodes:" }) {
      if (line.starts_with(section)) {
        return true;
      }
    }
  }
  return false;
}

void PrintDifferences(const Json::Value& aList, std::ostream& aOut)
{
  for (const Json::Value& entry : aList) {
    aOut << fmt::format("  {} {}: {} -> {}\n",
                        Printable(entry["path"].asString()),
                        Printable(entry["key"].asString()),
                        entry["old"].isNull() ? "(unset)" : CompactJson(entry["old"]),
                        entry["new"].isNull() ? "(unset)" : CompactJson(entry["new"]));
  }
}

void PrintPlan(const Json::Value& aPlan, std::ostream& aOut)
{
  aOut << Printable(aPlan["outcome"].asString()) << ", current generation "
       << CompactJson(aPlan["current_generation"]) << "\nchanges:\n";
  PrintDifferences(aPlan["changes"], aOut);
  aOut << "effective differences: " << CompactJson(aPlan["effective_total"]) << "\n";
  PrintDifferences(aPlan["effective"], aOut);
  aOut << FormatForecast(aPlan["forecast"]);
  for (const Json::Value& entry : aPlan["warnings"]) {
    aOut << "warning: " << Printable(entry["key"].asString()) << ": "
         << Printable(entry["message"].asString()) << "\n";
  }
}

/// Reads the changes to plan from a file or from the arguments of "set" or "unset".
/// @param aChanges receives the changes if Ok is returned.
ExitCode ReadPlannedChanges(const Arguments& aArguments,
                            FileChanges& aChanges,
                            CtlContext& aContext)
{
  if (aArguments.size() == 1) {
    return ReadFileChanges(aArguments[0], aChanges, aContext);
  }
  settings::Change change;
  if (!ParseChange(aArguments, change)) {
    return ReportUsage("plan FILE | plan set PATH KEY VALUE | plan unset PATH KEY", aContext);
  }
  CurrentTree current;
  if (const ExitCode code = ReadCurrentTree(current, aContext); code != ExitCode::Ok) {
    return code;
  }
  aChanges = { aContext.m_options.m_baseGeneration.value_or(current.m_generation), { change } };
  return ExitCode::Ok;
}

} // namespace

ExitCode RunDiff(const Arguments& aArguments, CtlContext& aContext)
{
  if (aArguments.size() != 1) {
    return ReportUsage("diff FILE", aContext);
  }
  FileChanges changes;
  const ExitCode code = ReadFileChanges(aArguments[0], changes, aContext);
  if (code == ExitCode::Ok && aContext.m_options.m_output == OutputFormat::Json) {
    Json::Value json(Json::objectValue);
    json["base_generation"] = Json::UInt64(changes.m_baseGeneration);
    json["changes"] = settings::ToJson(changes.m_changes);
    aContext.m_out << IndentedJson(json);
  }
  return code;
}

ExitCode RunPlan(const Arguments& aArguments, CtlContext& aContext)
{
  FileChanges changes;
  if (const ExitCode code = ReadPlannedChanges(aArguments, changes, aContext);
      code != ExitCode::Ok) {
    return code;
  }
  if (changes.m_changes.empty()) {
    aContext.m_err << "no change\n";
    return ExitCode::Ok;
  }
  Json::Value body(Json::objectValue);
  body["id"] = aContext.m_newId();
  body["base_generation"] = Json::UInt64(changes.m_baseGeneration);
  body["changes"] = settings::ToJson(changes.m_changes);
  const AdminClientResponse response = aContext.m_fleet.Query({ "POST", "/v1/plan", body });
  if (response.m_delivery == Delivery::Answered && response.m_status >= 400 &&
      response.m_status < 500) {
    EditReport report;
    report.m_outcome = EditOutcome::Rejected;
    report.m_error = response.m_body["error"];
    return ReportEdit(report, aContext);
  }
  if (!response.Succeeded()) {
    return ReportFailure(response, aContext);
  }
  if (aContext.m_options.m_output == OutputFormat::Json) {
    aContext.m_out << IndentedJson(response.m_body);
  } else {
    PrintPlan(response.m_body, aContext.m_out);
  }
  return ExitCode::Ok;
}

ExitCode RunCheck(const Arguments& aArguments, CtlContext& aContext)
{
  if (aArguments.size() != 1) {
    return ReportUsage("check FILE", aContext);
  }
  const std::string& file = aArguments[0];
  const settings::Diagnostics diagnostics = LooksLikeTree(file)
                                              ? settings::SettingsTree::LoadYaml(file).m_diagnostics
                                              : settings::VmSettings::LoadYaml(file).m_diagnostics;
  const bool valid = !settings::HasErrors(diagnostics);
  if (aContext.m_options.m_output == OutputFormat::Json) {
    Json::Value json(Json::objectValue);
    json["valid"] = valid;
    json["diagnostics"] = settings::ToJson(diagnostics);
    aContext.m_out << IndentedJson(json);
  } else {
    aContext.m_out << settings::ToString(diagnostics) << file
                   << (valid ? ": valid\n" : ": invalid\n");
  }
  return valid ? ExitCode::Ok : ExitCode::InvalidFile;
}

ExitCode RunReference(const Arguments&, CtlContext& aContext)
{
  aContext.m_out << settings::SettingsReference();
  return ExitCode::Ok;
}

} // namespace jaylane::ctl
