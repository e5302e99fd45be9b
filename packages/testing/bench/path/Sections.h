#pragma once

#include "BenchReport.h"

#include <chrono>

namespace jaylane::testing {

/// @name Sections of path_bench
/// Each starts its own deployment, adds its measured values and stops the processes.
/// @{
void MeasureAddedLatency(BenchReport& aReport);
/// @param aProgram path of path_bench, which is also run as the baseline server.
void MeasureLookups(BenchReport& aReport, const std::string& aProgram);
void MeasureUploadMemory(BenchReport& aReport);
void MeasureControlPlaneCost(BenchReport& aReport);
void MeasureEditLatency(BenchReport& aReport);
void MeasureLeavingUpstream(BenchReport& aReport);
void MeasureDrainAndStop(BenchReport& aReport);
/// @}

/// Runs a minimal HTTP server that responds to every request with the same body, until SIGTERM.
/// @param aBodyBytes size of the body in bytes.
/// @return exit status.
int RunBaselineServer(unsigned aBodyBytes);

} // namespace jaylane::testing
