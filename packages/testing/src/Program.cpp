#include "jaylane/testing/Program.h"

#include "jaylane/platform/JsonText.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>

namespace jaylane::testing {

namespace {

sigset_t TerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void BlockTerminationSignals()
{
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForTermination()
{
  const sigset_t signals = TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
}

void PrintLine(const Json::Value& aJson)
{
  fmt::print("{}\n", platform::WriteJson(aJson));
  std::fflush(stdout);
}

} // namespace jaylane::testing
