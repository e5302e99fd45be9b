#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/RequestFingerprint.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// One lost connection, as peers exchange it.
struct Strike
{
  RequestFingerprint m_fingerprint;
  /// Unique among all VMs.
  std::uint64_t m_id = 0;
  /// QuarantineList::HashUpstream() of the upstream.
  std::uint64_t m_upstream = 0;
  /// Time to live when the message was written.
  std::chrono::milliseconds m_remaining{ 0 };
  /// The upstream died together with others (see QuarantineOptions).
  bool m_correlated = false;
  /// The same request has completed since.
  bool m_cleared = false;

  bool operator==(const Strike&) const = default;
};

struct QuarantineOptions
{
  /// Lifetime of a strike, hence of a quarantine from its last but one counted strike.
  std::chrono::milliseconds m_lifetime{ std::chrono::minutes{ 10 } };
  /// Strikes at the same upstream this close together are one death.
  std::chrono::milliseconds m_sameDeath{ 1000 };
  /// A failure with another cause: within this time, at least m_massUpstreams upstreams died
  /// with at least m_massFingerprints different fingerprints.
  std::chrono::milliseconds m_massWindow{ 2000 };
  std::size_t m_massUpstreams = 3;
  std::size_t m_massFingerprints = 8;
  /// Deaths that quarantine a fingerprint. Strikes of mass failures and those before a
  /// completion are discounted.
  std::size_t m_crashThreshold = 2;
  /// The same if discounted strikes count too. Bounds the cost of a request that crashes only
  /// some upstreams, is resent during a mass failure, or comes with many others like it.
  std::size_t m_totalCrashThreshold = 4;
  /// Strikes kept at most; the one that expires first is dropped.
  std::size_t m_maxStrikes = 4096;
};

/// Requests that crash upstreams. A fingerprint is quarantined while it has strikes from two
/// different upstream deaths. Lists of peers merge by set union: order and repetition of the
/// messages do not matter while the list is not full. Not thread safe.
class QuarantineList
{
public:
  /// @param aOptions limits.
  /// @param aObserver random number of this process, makes the ids of its strikes unique.
  QuarantineList(const QuarantineOptions& aOptions, std::uint64_t aObserver);

  /// Changes the lifetime of strikes recorded from now on.
  void SetLifetime(std::chrono::milliseconds aLifetime) { m_options.m_lifetime = aLifetime; }

  /// @param aIncarnation as far as known; two incarnations never share a death.
  static std::uint64_t HashUpstream(std::string_view aId, std::string_view aIncarnation);

  /// Records that an upstream closed the connection of a request without a response. Not for
  /// refused connections, timeouts or cancelled requests.
  void RecordLoss(const RequestFingerprint& aFingerprint,
                  std::uint64_t aUpstream,
                  base::MonotonicTime aNow);

  /// Records that a request got its response. Its strikes so far probably came from requests
  /// that ran beside it, and are discounted.
  void RecordCompleted(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow);

  /// @return whether the request must be rejected as not-run.
  bool IsQuarantined(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return whether it has a strike. Dispatch at most one copy of such a request at a time,
  ///         and to an upstream without another suspect, so that the next crash convicts only
  ///         one of those that were in flight at the first.
  bool IsSuspect(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return all live strikes, for a peer.
  std::vector<Strike> Strikes(base::MonotonicTime aNow) const;

  /// Adds a peer's strikes.
  void Merge(const std::vector<Strike>& aStrikes, base::MonotonicTime aNow);

  /// @return number of strikes held, expired ones that are still remembered included.
  std::size_t size() const { return m_size; }

private:
  struct Entry
  {
    std::uint64_t m_id = 0;
    std::uint64_t m_upstream = 0;
    base::MonotonicTime m_expiry;
    bool m_correlated = false;
    bool m_cleared = false;
  };
  using EntryMap = std::unordered_map<RequestFingerprint, std::vector<Entry>>;

  void Add(const RequestFingerprint& aFingerprint, const Entry& aEntry);
  void Forget(base::MonotonicTime aNow);
  void DropFirstToExpire();
  // Looks at the strikes that expire at the given time or later.
  void MarkMassFailures(base::MonotonicTime aFirstExpiry);
  std::size_t CountDeaths(const std::vector<Entry>& aEntries,
                          bool aWithDiscounted,
                          base::MonotonicTime aNow) const;

  QuarantineOptions m_options;
  std::uint64_t m_observer;
  std::uint64_t m_nextStrike = 0;
  EntryMap m_entries;
  std::size_t m_size = 0;
};

} // namespace jaylane::policy
