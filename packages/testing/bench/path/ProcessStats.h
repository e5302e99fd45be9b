#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace jaylane::testing {

/// @return user and system CPU time of a process so far, from /proc; zero if it is gone.
std::chrono::duration<double> CpuTime(pid_t aId);

/// @return peak resident set (VmHWM) of a process in KiB, from /proc; zero if it is gone.
std::uint64_t PeakResidentKib(pid_t aId);

} // namespace jaylane::testing
