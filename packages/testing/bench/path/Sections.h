#pragma once

#include "BenchReport.h"

#include <chrono>

namespace jaylane::testing {

/// @name Sections of path_bench
/// Each starts its own deployment, adds its figures and ends its processes.
/// @{
void MeasureAddedLatency(BenchReport& aReport);
/// @param aProgram path of path_bench, started again as the baseline server.
void MeasureLookups(BenchReport& aReport, const std::string& aProgram);
void MeasureUploadMemory(BenchReport& aReport);
void MeasureControlCost(BenchReport& aReport);
void MeasureEdits(BenchReport& aReport);
void MeasureLeave(BenchReport& aReport);
void MeasureDrainAndStop(BenchReport& aReport);
/// @}

/// Answers every request with a fixed body of the size given, until SIGTERM.
/// @param aBodyBytes size of the body.
/// @return exit status.
int RunBaselineServer(unsigned aBodyBytes);

} // namespace jaylane::testing
