#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/testing/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace jaylane::testing {

/// Starts the processes of a test, with their files in a temporary directory. The destructor kills
/// the processes and removes the directory.
class ProcessHarness
{
public:
  static base::Result<std::unique_ptr<ProcessHarness>> Make();
  ~ProcessHarness();

  ProcessHarness(const ProcessHarness&) = delete;
  ProcessHarness& operator=(const ProcessHarness&) = delete;

  /// @param aName unique in the harness.
  /// @param aProgram path of the executable.
  /// @param aArguments arguments without the program name.
  /// @return the process, owned by the harness.
  base::Result<Process*> Start(const std::string& aName,
                               const std::string& aProgram,
                               const std::vector<std::string>& aArguments);

  /// @param aName file name without directory.
  /// @return path of the file in the temporary directory.
  std::string PathOf(const std::string& aName) const;

  /// Keeps the directory, for example to inspect a failed test.
  void KeepFiles() { m_keepFiles = true; }

  /// @param aName name of a test double, such as "platform_standin".
  /// @return its path in the directory JAYLANE_PROGRAMS if that is set, else in the build
  /// directory.
  static std::string ProgramPath(const std::string& aName);

  /// @return path of jaylane-entry: JAYLANE_ENTRY if set, else that of the same build; empty if the
  ///   build has none.
  static std::string EntryPath();

private:
  explicit ProcessHarness(std::string aDirectory);

  const std::string m_directory;
  bool m_keepFiles = false;
  std::vector<std::unique_ptr<Process>> m_processes;
};

} // namespace jaylane::testing
