#include "jaylane/base/Clock.h"
#include "jaylane/ctl/Ctl.h"
#include "jaylane/ctl/HttpAdminClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

ABSL_FLAG(std::vector<std::string>, vms, {}, "administration addresses, tried in order");
ABSL_FLAG(std::string, token_file, "", "file with the token");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(std::string, format, "text", "format of the timeline: text, json or html");
ABSL_FLAG(std::vector<std::string>, kinds, {}, "kinds of events in the timeline; default: all");
ABSL_FLAG(bool, effective, false, "get: resolve inherited values");
ABSL_FLAG(bool, wait, false, "wait until the edit is in effect on every live VM");
ABSL_FLAG(bool, check, false, "only validate the file that is the last argument");
ABSL_FLAG(int, wait_seconds, 30, "longest wait");
ABSL_FLAG(int, timeout_ms, 5000, "longest duration of one request");
ABSL_FLAG(std::string, edit_id, "", "id of an earlier edit");
ABSL_FLAG(std::int64_t, base_generation, -1, "generation that the edit is based on");

namespace {

using namespace jaylane;

constexpr int kMaxTimeoutMs = 600'000;
constexpr int kMaxWaitSeconds = 86'400;

std::string EnvironmentVariable(const char* aName)
{
  const char* value = std::getenv(aName);
  return value ? value : "";
}

/// @return the token, or an empty string if there is none.
std::string ReadToken()
{
  const std::string path = absl::GetFlag(FLAGS_token_file);
  if (path.empty()) {
    return EnvironmentVariable("JAYLANE_TOKEN");
  }
  std::ifstream file(path);
  std::string token;
  file >> token;
  return token;
}

std::vector<std::string> ReadVms()
{
  std::vector<std::string> vms = absl::GetFlag(FLAGS_vms);
  if (vms.empty()) {
    std::istringstream list(EnvironmentVariable("JAYLANE_VMS"));
    for (std::string vm; std::getline(list, vm, ',');) {
      vms.push_back(vm);
    }
  }
  std::erase(vms, "");
  return vms;
}

/// @return 128 random bits in hexadecimal.
std::string NewEditId()
{
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

/// @return whether the flags that are checked here have valid values.
bool ReadOptions(ctl::CtlOptions& aOptions)
{
  const std::string output = absl::GetFlag(FLAGS_output);
  const int waitSeconds = absl::GetFlag(FLAGS_wait_seconds);
  const int timeoutMs = absl::GetFlag(FLAGS_timeout_ms);
  if ((output != "table" && output != "json") || waitSeconds < 0 || waitSeconds > kMaxWaitSeconds ||
      timeoutMs < 1 || timeoutMs > kMaxTimeoutMs) {
    return false;
  }
  aOptions.m_output = output == "json" ? ctl::OutputFormat::Json : ctl::OutputFormat::Table;
  aOptions.m_effective = absl::GetFlag(FLAGS_effective);
  aOptions.m_wait = absl::GetFlag(FLAGS_wait);
  aOptions.m_check = absl::GetFlag(FLAGS_check);
  aOptions.m_waitTimeout = std::chrono::seconds(waitSeconds);
  aOptions.m_timelineFormat = absl::GetFlag(FLAGS_format);
  aOptions.m_kinds = absl::GetFlag(FLAGS_kinds);
  aOptions.m_editId = absl::GetFlag(FLAGS_edit_id);
  if (const std::int64_t base = absl::GetFlag(FLAGS_base_generation); base >= 0) {
    aOptions.m_baseGeneration = static_cast<std::uint64_t>(base);
  }
  return true;
}

} // namespace

int main(int aCount, char** aValues)
{
  absl::SetProgramUsageMessage(ctl::UsageText());
  const std::vector<char*> positional = absl::ParseCommandLine(aCount, aValues);
  const std::vector<std::string> arguments(positional.begin() + 1, positional.end());
  ctl::CtlOptions options;
  if (!ReadOptions(options)) {
    std::cerr << ctl::UsageText();
    return static_cast<int>(ctl::ExitCode::Usage);
  }
  const std::string token = ReadToken();
  if (token.empty() && !ctl::IsOffline(arguments, options)) {
    std::cerr << "error: no token; use --token_file or JAYLANE_TOKEN\n";
    return static_cast<int>(ctl::ExitCode::Usage);
  }
  ctl::HttpAdminClient client(token, std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
  ctl::Fleet fleet(client, ReadVms());
  auto sleep = [](std::chrono::milliseconds aTime) { std::this_thread::sleep_for(aTime); };
  ctl::CtlContext context{ fleet, options,  std::cout, std::cerr, base::SystemClock::Get(),
                           sleep, NewEditId };
  return static_cast<int>(ctl::RunCommand(arguments, context));
}
