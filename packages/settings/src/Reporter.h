#pragma once

#include "LocatedJson.h"
#include "jaylane/settings/Diagnostic.h"

#include <functional>
#include <string>

namespace jaylane::settings {

/// Collects the problems of one document and adds file and line to each.
class Reporter
{
public:
  /// @param aFile name for diagnostics.
  /// @param aLineOf finds the line of a value.
  Reporter(std::string aFile, std::function<int(const JsonPath&)> aLineOf)
    : m_file(std::move(aFile))
    , m_lineOf(std::move(aLineOf))
  {
  }

  /// A reporter for input without lines.
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

  /// Adds problems that were located elsewhere.
  void Append(const Diagnostics& aDiagnostics)
  {
    m_diagnostics.insert(m_diagnostics.end(), aDiagnostics.begin(), aDiagnostics.end());
  }

  const Diagnostics& All() const { return m_diagnostics; }

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
