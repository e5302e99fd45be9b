#include "Commands.h"
#include "Text.h"

#include <fmt/format.h>
#include <map>

namespace jaylane::ctl {

namespace {

ExitCode PrintEffective(const Arguments& aArguments, CtlContext& aContext)
{
  const AdminClientResponse response =
    aContext.m_fleet.Get("/v1/settings/effective?path=" + EncodeQuery(aArguments[0]));
  if (!response.Succeeded()) {
    return ReportFailure(response, aContext);
  }
  const Json::Value& all = response.m_body["settings"];
  Json::Value selected = all;
  if (aArguments.size() == 2) {
    if (!all.isObject() || !all.isMember(aArguments[1])) {
      aContext.m_err << "error: no such key: " << aArguments[1] << "\n";
      return ExitCode::Rejected;
    }
    selected = Json::objectValue;
    selected[aArguments[1]] = all[aArguments[1]];
  }
  if (aContext.m_options.m_output == OutputFormat::Json) {
    Json::Value json = response.m_body;
    json["settings"] = selected;
    aContext.m_out << IndentedJson(json);
    return ExitCode::Ok;
  }
  for (const std::string& key : selected.getMemberNames()) {
    aContext.m_out << fmt::format("{:<30} {:<12} from {}\n",
                                  Printable(key),
                                  CompactJson(selected[key]["value"]),
                                  Printable(selected[key]["from"].asString()));
  }
  return ExitCode::Ok;
}

/// Prints the whole tree; as a table, in the form that `apply` reads.
void PrintTree(const CurrentTree& aCurrent, CtlContext& aContext)
{
  if (aContext.m_options.m_output == OutputFormat::Json) {
    Json::Value json(Json::objectValue);
    json["generation"] = Json::UInt64(aCurrent.m_generation);
    json["tree"] = aCurrent.m_tree.ToJson();
    aContext.m_out << IndentedJson(json);
    return;
  }
  aContext.m_out << kGenerationComment << aCurrent.m_generation << "\n" << aCurrent.m_tree.ToYaml();
}

/// Prints the values that a path sets itself, without inheritance.
ExitCode PrintNode(const Arguments& aArguments, const CurrentTree& aCurrent, CtlContext& aContext)
{
  std::map<std::string, Json::Value> values;
  if (const auto node = aCurrent.m_tree.AllEntries().find(aArguments[0]);
      node != aCurrent.m_tree.AllEntries().end()) {
    values = node->second;
  }
  if (aArguments.size() == 2) {
    const auto value = values.find(aArguments[1]);
    if (value == values.end()) {
      aContext.m_err << "error: not set: " << aArguments[0] << " " << aArguments[1] << "\n";
      return ExitCode::Rejected;
    }
    values = { *value };
  }
  if (aContext.m_options.m_output == OutputFormat::Json) {
    Json::Value json(Json::objectValue);
    json["generation"] = Json::UInt64(aCurrent.m_generation);
    json["path"] = aArguments[0];
    json["settings"] = Json::objectValue;
    for (const auto& [key, value] : values) {
      json["settings"][key] = value;
    }
    aContext.m_out << IndentedJson(json);
    return ExitCode::Ok;
  }
  for (const auto& [key, value] : values) {
    aContext.m_out << fmt::format("{:<30} {}\n", Printable(key), CompactJson(value));
  }
  return ExitCode::Ok;
}

void PrintStatusLine(const VmInfo& aVm, const AdminClientResponse& aResponse, std::ostream& aOut)
{
  const std::string generation = aResponse.Succeeded()
                                   ? CompactJson(aResponse.m_body["generation_in_effect"])
                                   : "(" + Printable(aResponse.Explain()) + ")";
  aOut << fmt::format("{:<24} {:<16} {:<16} {:<8} {:<22} {}\n",
                      Printable(aVm.m_id),
                      Printable(aVm.m_region),
                      Printable(aVm.m_zone),
                      Printable(aVm.m_state),
                      Printable(aVm.m_adminAddress),
                      generation);
}

} // namespace

ExitCode RunGet(const Arguments& aArguments, CtlContext& aContext)
{
  const bool effective = aContext.m_options.m_effective;
  if (aArguments.size() > 2 || (effective && aArguments.empty())) {
    return ReportUsage("get [--effective] [PATH [KEY]]", aContext);
  }
  if (effective) {
    return PrintEffective(aArguments, aContext);
  }
  CurrentTree current;
  if (const ExitCode code = ReadCurrentTree(current, aContext); code != ExitCode::Ok) {
    return code;
  }
  if (aArguments.empty()) {
    PrintTree(current, aContext);
    return ExitCode::Ok;
  }
  return PrintNode(aArguments, current, aContext);
}

ExitCode RunHistory(const Arguments& aArguments, CtlContext& aContext)
{
  if (!aArguments.empty()) {
    return ReportUsage("history", aContext);
  }
  const AdminClientResponse response = aContext.m_fleet.Get("/v1/history");
  if (!response.Succeeded()) {
    return ReportFailure(response, aContext);
  }
  if (aContext.m_options.m_output == OutputFormat::Json) {
    aContext.m_out << IndentedJson(response.m_body);
    return ExitCode::Ok;
  }
  for (const Json::Value& entry : response.m_body["history"]) {
    for (const Json::Value& change : entry["changes"]) {
      aContext.m_out << fmt::format("{} {} {} {} {} = {}\n",
                                    CompactJson(entry["generation"]),
                                    Printable(entry["at"].asString()),
                                    Printable(entry["who"].asString()),
                                    Printable(change["path"].asString()),
                                    Printable(change["key"].asString()),
                                    change["value"].isNull() ? "(unset)"
                                                             : CompactJson(change["value"]));
    }
  }
  return ExitCode::Ok;
}

ExitCode RunStatus(const Arguments& aArguments, CtlContext& aContext)
{
  if (!aArguments.empty()) {
    return ReportUsage("status", aContext);
  }
  const std::vector<VmInfo> vms = aContext.m_fleet.Discover();
  if (vms.empty()) {
    return ReportFailure(aContext.m_fleet.Get("/v1/status"), aContext);
  }
  Json::Value all(Json::arrayValue);
  for (const VmInfo& vm : vms) {
    const AdminClientResponse response =
      aContext.m_fleet.Client().Send(vm.m_adminAddress, { "GET", "/v1/status", {} });
    if (aContext.m_options.m_output == OutputFormat::Table) {
      PrintStatusLine(vm, response, aContext.m_out);
      continue;
    }
    Json::Value entry(Json::objectValue);
    entry["id"] = vm.m_id;
    entry["state"] = vm.m_state;
    entry["admin_address"] = vm.m_adminAddress;
    if (response.Succeeded()) {
      entry["status"] = response.m_body;
    } else {
      entry["problem"] = response.Explain();
    }
    all.append(entry);
  }
  if (aContext.m_options.m_output == OutputFormat::Json) {
    aContext.m_out << IndentedJson(all);
  }
  return ExitCode::Ok;
}

} // namespace jaylane::ctl
