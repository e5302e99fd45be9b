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
  /// The key now belongs to the caller of Claim(), which alone may run the request.
  Claimed,
  /// Another call has claimed the key, so its request may already have run.
  AlreadyClaimed,
  /// The request must not run: the claim failed or its outcome is unknown. In the latter case the
  /// key may stay claimed until the claim expires.
  StoreUnavailable,
};

struct ClaimResult
{
  ClaimOutcome m_outcome = ClaimOutcome::StoreUnavailable;
  /// Whether StoreUnavailable is due to the rate limit of this VM.
  bool m_rateLimited = false;
  /// Last error of the write, if there was one.
  base::Error m_error;
};

struct ClaimOptions
{
  /// Store writes per second of this VM. The sum over all VMs must stay below the write rate of
  /// the store, so that configuration can always be written.
  double m_writesPerSecond = 10;
  /// Store writes that may be made at once after a period without writes.
  double m_burst = 20;
  /// Timeout of each store call.
  std::chrono::milliseconds m_timeout{ 500 };
  /// How long a key stays claimed. Must exceed the time within which a caller resends a key.
  std::chrono::milliseconds m_lifetime = std::chrono::hours{ 24 };
  /// Limit on the claims of this VM that are remembered for deletion. Further ones are found by
  /// listing the store.
  std::size_t m_maxOwnClaims = 100'000;
  /// Limit on the claims deleted by one call of CleanUp().
  std::size_t m_cleanUpBatch = 20;
  /// Time between listings of the store for expired claims, which also find those of VMs that no
  /// longer run.
  std::chrono::milliseconds m_listInterval = std::chrono::minutes{ 10 };
};

/// Ensures that the request of a key chosen by a caller runs at most once across all VMs.
///
/// A claim is an object in the store, named after the key and written only if it does not exist
/// yet. Of several VMs that receive the same key, at most one can create it. Thread safe.
class ClaimRegistry
{
public:
  /// Largest expected difference between wall clocks of VMs. Claims are kept for this much longer
  /// than their lifetime, so that a VM whose clock is ahead does not delete one too early.
  static constexpr std::chrono::minutes kMaxClockDifference{ 1 };
  /// Prefix of the claims' object keys.
  static constexpr const char* kPrefix = "claim/";

  /// @param aStore must outlive this.
  /// @param aClock must outlive this.
  /// @param aOptions limits and lifetimes.
  /// @param aIncarnation incarnation of this VM, written into each claim.
  /// @param aNonces makes each claim distinguishable from every other one.
  ClaimRegistry(Store& aStore,
                const base::Clock& aClock,
                const ClaimOptions& aOptions,
                std::string aIncarnation,
                NonceSource aNonces);

  /// Claims a key. Blocks for several store calls at most, each up to the timeout of the options.
  /// @param aKey key chosen by the caller of the request.
  ClaimResult Claim(const std::string& aKey);

  /// Deletes expired claims of this VM and, once per list interval, of any VM. To be called
  /// periodically from one thread.
  /// @return number of claims deleted.
  std::size_t CleanUp();

private:
  struct OwnClaim
  {
    ObjectVersion m_object;
    /// Time from which the claim may be deleted.
    base::MonotonicTime m_expires;
  };

  bool DeleteClaim(const ObjectVersion& aObject);
  std::size_t DeleteExpiredOwnClaims();
  std::size_t DeleteExpiredClaims(std::size_t aLimit);
  bool IsExpired(const std::string& aValue) const;
  /// @return time between the write of a claim and its deletion.
  std::chrono::milliseconds RetentionTime() const
  {
    return m_options.m_lifetime + kMaxClockDifference;
  }

  Store& m_store;
  const base::Clock& m_clock;
  const ClaimOptions m_options;
  const ConditionalWriter m_writer;
  TokenBucket m_tokens;
  std::mutex m_mutex;
  /// Claims written by this VM, oldest first.
  std::deque<OwnClaim> m_ownClaims;
  base::MonotonicTime m_nextListing;
};

} // namespace jaylane::platform
