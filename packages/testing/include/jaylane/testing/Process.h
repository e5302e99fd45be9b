#pragma once

#include "jaylane/base/Error.h"

#include <chrono>
#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jaylane::testing {

/// A child process with its output in files. Killed by the destructor.
class Process
{
public:
  /// @param aName base name of the output files, unique in the directory.
  /// @param aDirectory of the files <name>.out and <name>.log.
  /// @param aProgram path of the executable.
  /// @param aArguments without the program itself.
  static base::Result<std::unique_ptr<Process>> Start(const std::string& aName,
                                                      const std::string& aDirectory,
                                                      const std::string& aProgram,
                                                      const std::vector<std::string>& aArguments);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @return the first line of standard output as JSON, waiting for it.
  base::Result<Json::Value> FirstLine(std::chrono::milliseconds aTimeout);

  /// @return the last line of standard output as JSON.
  base::Result<Json::Value> LastLine() const;

  /// @param aSignal sent unless the process has ended.
  void Signal(int aSignal);

  /// Ends the process with SIGKILL and waits for it.
  void Kill();
  /// Sends SIGTERM.
  void Terminate();
  /// Sends SIGSTOP.
  void Pause();
  /// Sends SIGCONT.
  void Resume();

  /// @return wait status as of waitpid(), or Timeout.
  base::Result<int> Wait(std::chrono::milliseconds aTimeout);

  bool Running();
  pid_t Id() const { return m_id; }
  const std::string& Name() const { return m_name; }
  /// @return file with standard error.
  const std::string& LogFile() const { return m_logFile; }

private:
  Process(std::string aName, std::string aOutputFile, std::string aLogFile, pid_t aId);

  const std::string m_name;
  const std::string m_outputFile;
  const std::string m_logFile;
  const pid_t m_id;
  std::optional<int> m_status;
};

} // namespace jaylane::testing
