#include "jaylane/settings/Diagnostic.h"

#include <algorithm>
#include <fmt/format.h>

namespace jaylane::settings {

namespace {

const char* SeverityName(Severity aSeverity)
{
  return aSeverity == Severity::Error ? "error" : "warning";
}

} // namespace

std::string Diagnostic::ToString() const
{
  std::string location = m_file;
  if (m_line > 0) {
    location += fmt::format(":{}", m_line);
  }
  if (!location.empty()) {
    location += ": ";
  }
  const std::string key = m_key.empty() ? "" : m_key + ": ";
  return fmt::format("{}{}: {}{}", location, SeverityName(m_severity), key, m_message);
}

Json::Value Diagnostic::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["severity"] = SeverityName(m_severity);
  json["file"] = m_file;
  json["line"] = m_line;
  json["key"] = m_key;
  json["message"] = m_message;
  return json;
}

bool HasErrors(const Diagnostics& aDiagnostics)
{
  return std::any_of(aDiagnostics.begin(), aDiagnostics.end(), [](const Diagnostic& aEntry) {
    return aEntry.m_severity == Severity::Error;
  });
}

std::string ToString(const Diagnostics& aDiagnostics)
{
  std::string text;
  for (const Diagnostic& diagnostic : aDiagnostics) {
    text += diagnostic.ToString() + "\n";
  }
  return text;
}

Json::Value ToJson(const Diagnostics& aDiagnostics)
{
  Json::Value json(Json::arrayValue);
  for (const Diagnostic& diagnostic : aDiagnostics) {
    json.append(diagnostic.ToJson());
  }
  return json;
}

} // namespace jaylane::settings
