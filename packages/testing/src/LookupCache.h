#pragma once

#include "jaylane/testing/CallerOptions.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::testing {

/// Response to a lookup.
struct LookupAnswer
{
  struct Vm
  {
    std::string m_id;
    std::string m_address;
  };

  std::string m_scope;
  std::vector<Vm> m_vms;
  std::chrono::steady_clock::time_point m_expires;
};

/// Keeps the latest lookup response, renewed by an own thread shortly before it expires.
class LookupCache
{
public:
  /// @param aOptions entries, service and caller of the lookup.
  explicit LookupCache(const CallerOptions& aOptions);
  ~LookupCache();

  /// @return the response unless it has expired.
  std::optional<LookupAnswer> Current() const;

  std::uint64_t Lookups() const;
  std::uint64_t Failures() const;

private:
  void Loop();
  std::optional<LookupAnswer> LookUp(const std::string& aEntry) const;

  const CallerOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_stopped;
  bool m_stop = false;
  std::optional<LookupAnswer> m_answer;
  std::uint64_t m_lookups = 0;
  std::uint64_t m_failures = 0;
  std::thread m_thread;
};

} // namespace jaylane::testing
