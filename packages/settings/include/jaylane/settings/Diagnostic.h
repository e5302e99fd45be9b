#pragma once

#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::settings {

enum class Severity
{
  Warning,
  Error,
};

/// Problem found in a settings file, tree or edit.
struct Diagnostic
{
  Severity m_severity = Severity::Error;
  /// Name of the input file; empty if the input is not a file.
  std::string m_file;
  /// Line in the file, starting at 1; 0 if the input has no line numbers (JSON, edits).
  int m_line = 0;
  /// Node path or section, followed by the key: "/region-a shift_window_seconds".
  std::string m_key;
  /// States what was expected and what was found; never contains a secret.
  std::string m_message;

  /// @return "file:line: error: key: message".
  std::string ToString() const;

  /// @return {"severity","file","line","key","message"}.
  Json::Value ToJson() const;

  bool operator==(const Diagnostic&) const = default;
};

using Diagnostics = std::vector<Diagnostic>;

/// @return whether any entry is an error.
bool HasErrors(const Diagnostics& aDiagnostics);

/// @return one line per entry.
std::string ToString(const Diagnostics& aDiagnostics);

/// @return array of Diagnostic::ToJson().
Json::Value ToJson(const Diagnostics& aDiagnostics);

/// Result of parsing: all problems found, and the value if none of them is an error.
template<typename T>
struct Parsed
{
  std::optional<T> m_value;
  Diagnostics m_diagnostics;

  explicit operator bool() const { return m_value.has_value(); }
  const T& operator*() const { return *m_value; }
  const T* operator->() const { return &*m_value; }
};

} // namespace jaylane::settings
