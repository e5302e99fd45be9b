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

/// Response of an entry VM to a lookup.
struct LookupResponse
{
  struct Vm
  {
    std::string m_id;
    std::string m_address;
  };

  /// Prefix for the keys of requests that need no claim in the store.
  std::string m_scope;
  std::vector<Vm> m_vms;
  std::chrono::steady_clock::time_point m_expires;
};

/// Caches the latest lookup response. A background thread refreshes it shortly before it expires.
class LookupCache
{
public:
  /// @param aOptions entry VMs, service and caller address of the lookups.
  explicit LookupCache(const CallerOptions& aOptions);
  ~LookupCache();

  /// @return the latest response, or nothing if there is none or it has expired.
  std::optional<LookupResponse> Current() const;

  /// @return number of lookups, with the failed ones.
  std::uint64_t Lookups() const;
  std::uint64_t Failures() const;

private:
  void RefreshLoop();
  std::optional<LookupResponse> LookUp(const std::string& aEntry) const;

  const CallerOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_stopSignal;
  bool m_stop = false;
  std::optional<LookupResponse> m_response;
  std::uint64_t m_lookups = 0;
  std::uint64_t m_failures = 0;
  std::thread m_thread;
};

} // namespace jaylane::testing
