#include "jaylane/testing/Process.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/TestingError.h"
#include "jaylane/testing/WaitFor.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace jaylane::testing {

namespace {

std::string ReadFile(const std::string& aPath)
{
  std::ifstream input(aPath);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

int Spawn(const std::string& aProgram,
          std::vector<char*>& aArguments,
          const std::string& aOutputFile,
          const std::string& aLogFile,
          pid_t& aId)
{
  constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, aOutputFile.c_str(), kFlags, 0600);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, aLogFile.c_str(), kFlags, 0600);
  // A connection whose socket a child inherits stays open when this process closes it; the peer
  // would wait on it instead of seeing its end.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  // The child must not inherit signals that the harness blocks.
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  const int error =
    posix_spawn(&aId, aProgram.c_str(), &actions, &attributes, aArguments.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  return error;
}

} // namespace

Process::Process(std::string aName, std::string aOutputFile, std::string aLogFile, pid_t aId)
  : m_name(std::move(aName))
  , m_outputFile(std::move(aOutputFile))
  , m_logFile(std::move(aLogFile))
  , m_id(aId)
{
}

Process::~Process()
{
  Kill();
}

base::Result<std::unique_ptr<Process>> Process::Start(const std::string& aName,
                                                      const std::string& aDirectory,
                                                      const std::string& aProgram,
                                                      const std::vector<std::string>& aArguments)
{
  std::string program = aProgram;
  std::vector<std::string> copies = aArguments;
  std::vector<char*> arguments{ program.data() };
  for (std::string& argument : copies) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const std::string output = aDirectory + "/" + aName + ".out";
  const std::string log = aDirectory + "/" + aName + ".log";
  pid_t id = 0;
  if (const int error = Spawn(program, arguments, output, log, id); error != 0) {
    return MakeError(TestingErrc::StartFailed, program + ": " + std::strerror(error));
  }
  return std::unique_ptr<Process>(new Process(aName, output, log, id));
}

base::Result<Json::Value> Process::FirstLine(std::chrono::milliseconds aTimeout)
{
  std::string text;
  const bool complete = WaitFor(
    [&] {
      // Running() comes first, so that a line written just before the exit is not missed.
      const bool running = Running();
      text = ReadFile(m_outputFile);
      return text.find('\n') != std::string::npos || !running;
    },
    aTimeout);
  const auto end = text.find('\n');
  if (end == std::string::npos) {
    const auto code = complete ? TestingErrc::StartFailed : TestingErrc::Timeout;
    return MakeError(code, m_name + " printed no complete line; its log: " + ReadFile(m_logFile));
  }
  auto json = platform::ParseJsonObject(text.substr(0, end));
  if (!json) {
    return MakeError(TestingErrc::Malformed, m_name + ": " + text);
  }
  return std::move(*json);
}

base::Result<Json::Value> Process::LastLine() const
{
  std::istringstream text(ReadFile(m_outputFile));
  std::string line;
  std::string last;
  while (std::getline(text, line)) {
    last = line;
  }
  auto json = platform::ParseJsonObject(last);
  if (!json) {
    return MakeError(TestingErrc::Malformed, m_name + ": " + last);
  }
  return std::move(*json);
}

void Process::Signal(int aSignal)
{
  // The process id cannot be reused before waitpid() has reaped the process.
  if (Running()) {
    kill(m_id, aSignal);
  }
}

void Process::Kill()
{
  if (!Running()) {
    return;
  }
  kill(m_id, SIGKILL);
  int status = 0;
  while (waitpid(m_id, &status, 0) < 0 && errno == EINTR) {
  }
  m_status = status;
}

void Process::Terminate()
{
  Signal(SIGTERM);
}

void Process::Pause()
{
  Signal(SIGSTOP);
}

void Process::Resume()
{
  Signal(SIGCONT);
}

bool Process::Running()
{
  if (m_status) {
    return false;
  }
  int status = 0;
  if (waitpid(m_id, &status, WNOHANG) == m_id) {
    m_status = status;
    return false;
  }
  return true;
}

base::Result<int> Process::Wait(std::chrono::milliseconds aTimeout)
{
  if (!WaitFor([this] { return !Running(); }, aTimeout)) {
    return MakeError(TestingErrc::Timeout, m_name + " is still running");
  }
  return *m_status;
}

} // namespace jaylane::testing
