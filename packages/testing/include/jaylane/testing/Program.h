#pragma once

#include <json/value.h>

namespace jaylane::testing {

/// Blocks SIGTERM and SIGINT in the calling thread and all threads that it starts afterwards.
void BlockTerminationSignals();

/// Waits for SIGTERM or SIGINT, which must be blocked.
void WaitForTermination();

/// Prints a value to standard output as one line and flushes it.
/// @param aJson the value.
void PrintLine(const Json::Value& aJson);

} // namespace jaylane::testing
