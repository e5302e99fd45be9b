#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/platform/ConditionalWriter.h"
#include "jaylane/platform/Store.h"
#include "jaylane/platform/TokenBucket.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace jaylane::platform {

enum class ClaimOutcome
{
  /// The caller of Claim(), and nobody else, may run the request of the key.
  Claimed,
  /// Somebody else may have run it.
  AlreadyClaimed,
  /// Not claimed and must not be run. The key may remain claimed all the same.
  StoreUnavailable,
};

struct ClaimResult
{
  ClaimOutcome m_outcome = ClaimOutcome::StoreUnavailable;
  /// Whether the rate limit is the reason of StoreUnavailable.
  bool m_rateLimited = false;
  base::Error m_error;
};

struct ClaimOptions
{
  /// Writes a second and their burst for this VM. The sum over all VMs must stay below the
  /// write rate of the store, so that configuration writes always have room.
  double m_writesPerSecond = 10;
  double m_burst = 20;
  /// Of each call of the store.
  std::chrono::milliseconds m_timeout{ 500 };
  /// How long a key stays claimed; longer than any caller repeats it.
  std::chrono::milliseconds m_lifetime = std::chrono::hours{ 24 };
  /// Own claims remembered for deletion; those beyond are left to the sweep.
  std::size_t m_maxTracked = 100'000;
  /// Claims deleted by one clean-up at most.
  std::size_t m_cleanUpBatch = 20;
  /// Time between the sweeps for claims of VMs that no longer run.
  std::chrono::milliseconds m_sweepInterval = std::chrono::minutes{ 10 };
};

/// At-most-once execution for keys chosen by callers, by objects created only if absent.
/// Thread safe.
class ClaimRegistry
{
public:
  /// Claims are kept for this much longer, since the VMs' wall clocks differ.
  static constexpr std::chrono::minutes kMaxClockDifference{ 1 };
  /// Prefix of the object keys.
  static constexpr const char* kPrefix = "claim/";

  /// @param aStore, aClock outlive this.
  /// @param aIncarnation of this VM.
  ClaimRegistry(Store& aStore,
                const base::Clock& aClock,
                const ClaimOptions& aOptions,
                std::string aIncarnation,
                NonceSource aNonces);

  /// @param aKey chosen by the caller of the request.
  ClaimResult Claim(const std::string& aKey);

  /// Deletes expired claims: own ones, and now and then those of other VMs. Call it
  /// periodically from one thread.
  /// @return number of deleted claims.
  std::size_t CleanUp();

private:
  struct Tracked
  {
    ObjectVersion m_object;
    base::MonotonicTime m_expires;
  };

  bool DeleteOne(const ObjectVersion& aObject);
  std::size_t CleanUpOwn();
  std::size_t Sweep(std::size_t aLimit);
  bool Expired(const std::string& aValue) const;
  std::chrono::milliseconds Kept() const { return m_options.m_lifetime + kMaxClockDifference; }

  Store& m_store;
  const base::Clock& m_clock;
  const ClaimOptions m_options;
  const ConditionalWriter m_writer;
  TokenBucket m_tokens;
  std::mutex m_mutex;
  std::deque<Tracked> m_tracked;
  base::MonotonicTime m_nextSweep;
};

} // namespace jaylane::platform
