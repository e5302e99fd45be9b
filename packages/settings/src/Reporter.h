#pragma once

#include "LocatedJson.h"
#include "jaylane/settings/Diagnostic.h"

#include <functional>
#include <string>

namespace jaylane::settings {

/// Collects the diagnostics of one document and adds file and line to each.
class Reporter
{
public:
  /// @param aFile file name for diagnostics.
  /// @param aLineOf returns the line of a value, 0 if it is unknown.
  Reporter(std::string aFile, std::function<int(const JsonPath&)> aLineOf)
    : m_file(std::move(aFile))
    , m_lineOf(std::move(aLineOf))
  {
  }

  /// Creates a reporter for input without file and lines.
  Reporter()
    : Reporter("", [](const JsonPath&) { return 0; })
  {
  }

  void Error(const JsonPath& aPath, std::string aMessage)
  {
    Add(Severity::Error, aPath, std::move(aMessage));
  }

  void Warning(const JsonPath& aPath, std::string aMessage)
  {
    Add(Severity::Warning, aPath, std::move(aMessage));
  }

  /// Adds diagnostics that already have file and line.
  void Append(const Diagnostics& aDiagnostics)
  {
    m_diagnostics.insert(m_diagnostics.end(), aDiagnostics.begin(), aDiagnostics.end());
  }

  const Diagnostics& All() const { return m_diagnostics; }

  /// @return whether any diagnostic is an error.
  bool Failed() const { return HasErrors(m_diagnostics); }

private:
  void Add(Severity aSeverity, const JsonPath& aPath, std::string aMessage)
  {
    std::string key;
    for (const std::string& part : aPath) {
      key += (key.empty() ? "" : " ") + part;
    }
    m_diagnostics.push_back(
      { aSeverity, m_file, m_lineOf(aPath), std::move(key), std::move(aMessage) });
  }

  const std::string m_file;
  const std::function<int(const JsonPath&)> m_lineOf;
  Diagnostics m_diagnostics;
};

} // namespace jaylane::settings
