#include "jaylane/testing/ProcessHarness.h"

#include "jaylane/testing/TestingError.h"

#include <cstdlib>
#include <filesystem>

namespace jaylane::testing {

namespace {

std::string GetEnvironment(const char* aName, const std::string& aDefault)
{
  const char* value = std::getenv(aName);
  return value ? std::string(value) : aDefault;
}

} // namespace

ProcessHarness::ProcessHarness(std::string aDirectory)
  : m_directory(std::move(aDirectory))
{
}

ProcessHarness::~ProcessHarness()
{
  m_processes.clear();
  if (!m_keepFiles) {
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
  }
}

base::Result<std::unique_ptr<ProcessHarness>> ProcessHarness::Make()
{
  std::error_code error;
  std::string directory = std::filesystem::temp_directory_path(error) / "jaylane-XXXXXX";
  if (error || !mkdtemp(directory.data())) {
    return MakeError(TestingErrc::FileFailed, directory);
  }
  return std::unique_ptr<ProcessHarness>(new ProcessHarness(directory));
}

base::Result<Process*> ProcessHarness::Start(const std::string& aName,
                                             const std::string& aProgram,
                                             const std::vector<std::string>& aArguments)
{
  auto process = Process::Start(aName, m_directory, aProgram, aArguments);
  if (!process) {
    return process.GetError();
  }
  m_processes.push_back(std::move(*process));
  return m_processes.back().get();
}

std::string ProcessHarness::PathOf(const std::string& aName) const
{
  return m_directory + "/" + aName;
}

std::string ProcessHarness::ProgramPath(const std::string& aName)
{
  return GetEnvironment("JAYLANE_PROGRAMS", JAYLANE_PROGRAM_DIR) + "/" + aName;
}

std::string ProcessHarness::EntryPath()
{
  return GetEnvironment("JAYLANE_ENTRY", JAYLANE_ENTRY);
}

} // namespace jaylane::testing
