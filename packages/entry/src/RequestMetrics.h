#pragma once

#include "Outcome.h"
#include "jaylane/base/LatencyHistogram.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <mutex>
#include <string>

namespace jaylane::entry {

/// Counts requests by outcome and error code, and measures their latency. Thread safe.
class RequestMetrics
{
public:
  void Record(const RequestResult& aResult, std::chrono::nanoseconds aDuration);

  /// @return {"completed","not_run","unknown","errors":{code:count},"latency":{...}}.
  Json::Value ToJson() const;

private:
  mutable std::mutex m_mutex;
  std::array<std::uint64_t, 3> m_outcomes{};
  std::map<std::string, std::uint64_t> m_errors;
  base::LatencyHistogram m_latency;
};

} // namespace jaylane::entry
