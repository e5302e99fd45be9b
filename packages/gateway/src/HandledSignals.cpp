#include "HandledSignals.h"

namespace jaylane::gateway {

namespace {

sigset_t HandledSignalSet()
{
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : kHandledSignals) {
    sigaddset(&set, signal);
  }
  return set;
}

} // namespace

void BlockHandledSignals()
{
  const sigset_t set = HandledSignalSet();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void UnblockHandledSignals()
{
  const sigset_t set = HandledSignalSet();
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

} // namespace jaylane::gateway
