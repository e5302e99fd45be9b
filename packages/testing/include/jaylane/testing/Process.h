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

/// A child process whose output goes to files. The destructor kills it.
class Process
{
public:
  /// @param aName base name of the output files, unique in the directory.
  /// @param aDirectory of the files <name>.out and <name>.log.
  /// @param aProgram path of the executable.
  /// @param aArguments arguments without the program name.
  /// @return the running process, or TestingErrc::StartFailed.
  static base::Result<std::unique_ptr<Process>> Start(const std::string& aName,
                                                      const std::string& aDirectory,
                                                      const std::string& aProgram,
                                                      const std::vector<std::string>& aArguments);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for the first line of standard output.
  /// @return the line as JSON; StartFailed if the process ended without one, Timeout, or Malformed.
  base::Result<Json::Value> FirstLine(std::chrono::milliseconds aTimeout);

  /// @return the last line of standard output as JSON, or Malformed.
  base::Result<Json::Value> LastLine() const;

  /// @param aSignal signal to send, unless the process has ended.
  void Signal(int aSignal);

  /// Sends SIGKILL and waits for the end of the process.
  void Kill();
  /// Sends SIGTERM.
  void Terminate();
  /// Sends SIGSTOP.
  void Pause();
  /// Sends SIGCONT.
  void Resume();

  /// Waits for the end of the process.
  /// @return status as of waitpid(), or Timeout.
  base::Result<int> Wait(std::chrono::milliseconds aTimeout);

  bool Running();
  pid_t Id() const { return m_id; }
  const std::string& Name() const { return m_name; }
  /// @return path of the file with standard error.
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
