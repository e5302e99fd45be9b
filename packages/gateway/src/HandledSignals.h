#pragma once

#include <array>
#include <csignal>

namespace jaylane::gateway {

/// Signals that stop the process or make it read its settings again.
inline constexpr std::array kHandledSignals = { SIGTERM, SIGINT, SIGHUP };

/// Blocks the handled signals on the calling thread, and on those that it starts. They stay
/// pending.
void BlockHandledSignals();

/// Lets the handled signals through again on the calling thread, those that are pending included.
void UnblockHandledSignals();

} // namespace jaylane::gateway
