#include "jaylane/entry/EntryVm.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this VM");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 1;

/// Blocks the termination signals in all threads, so that WaitForTermination() receives them.
sigset_t BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void PrintAddresses(const jaylane::entry::EntryVm& aVm)
{
  const auto addresses = aVm.Addresses();
  fmt::print(
    R"({{"caller_address":"{}","peer_address":"{}","admin_address":"{}","incarnation":"{}"}})"
    "\n",
    addresses.m_caller.ToString(),
    addresses.m_peer.ToString(),
    addresses.m_admin.ToString(),
    aVm.IncarnationText());
  std::fflush(stdout);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace jaylane;
  absl::SetProgramUsageMessage("Entry VM of jaylane: responds to lookups and forwards requests.\n"
                               "  jaylane-entry --settings=FILE [--check]");
  absl::ParseCommandLine(aArgc, aArgv);
  const auto parsed = settings::VmSettings::LoadYaml(absl::GetFlag(FLAGS_settings));
  fmt::print(stderr, "{}", settings::ToString(parsed.m_diagnostics));
  if (!parsed) {
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    return 0;
  }
  const sigset_t signals = BlockTerminationSignals();
  auto vm = entry::EntryVm::Make(*parsed, base::SystemClock::Get());
  if (!vm) {
    fmt::print(stderr, "{}\n", vm.GetError().Message());
    return kExitCannotStart;
  }
  PrintAddresses(**vm);
  int received = 0;
  sigwait(&signals, &received);
  (*vm)->Stop();
  return 0;
}
