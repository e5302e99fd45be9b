#pragma once

#include <json/value.h>

namespace jaylane::testing {

/// Blocks SIGTERM and SIGINT in this and later threads; call before starting any.
void BlockTerminationSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForTermination();

/// @param aJson printed on standard output as one line, flushed at once.
void PrintLine(const Json::Value& aJson);

} // namespace jaylane::testing
