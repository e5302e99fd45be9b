#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/RequestFingerprint.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// A connection that an upstream closed without a response, counted against the request that it
/// carried. VMs exchange strikes as peers.
struct Strike
{
  RequestFingerprint m_fingerprint;
  /// Unique among the strikes of all VMs.
  std::uint64_t m_id = 0;
  /// QuarantineList::HashUpstream() of the upstream.
  std::uint64_t m_upstream = 0;
  /// Time until the strike expires, as of when the message was written.
  std::chrono::milliseconds m_remaining{ 0 };
  /// The upstream failed together with others, see QuarantineOptions::m_massFailureWindow.
  bool m_correlated = false;
  /// A request with the same fingerprint has completed since.
  bool m_cleared = false;

  bool operator==(const Strike&) const = default;
};

struct QuarantineOptions
{
  /// Lifetime of a strike. A quarantine ends when too few of its strikes are left.
  std::chrono::milliseconds m_lifetime{ std::chrono::minutes{ 10 } };
  /// Strikes at the same upstream within this time count as one crash.
  std::chrono::milliseconds m_sameCrashWindow{ 1000 };
  /// A mass failure, whose cause is not a request: strikes at m_massFailureUpstreams or more
  /// upstreams, of m_massFailureFingerprints or more different fingerprints, within this time.
  std::chrono::milliseconds m_massFailureWindow{ 2000 };
  std::size_t m_massFailureUpstreams = 3;
  std::size_t m_massFailureFingerprints = 8;
  /// Crashes after which a fingerprint is quarantined. Strikes that belong to a mass failure or
  /// precede a completion of the request are discounted, that is, not counted here.
  std::size_t m_crashThreshold = 2;
  /// Crashes including the discounted strikes after which a fingerprint is quarantined. Bounds the
  /// cost of a request that crashes only some upstreams, is resent during a mass failure, or
  /// arrives together with many similar ones.
  std::size_t m_totalCrashThreshold = 4;
  /// Strikes kept at most. If there are more, the one that expires first is dropped.
  std::size_t m_maxStrikes = 4096;

  /// @return options for requests whose path many callers share, so that a wrong quarantine costs
  ///         many requests.
  static QuarantineOptions MakeForSharedPaths();
};

/// Crashes during which requests with one fingerprint were in flight.
struct CrashCounts
{
  /// Without discounted strikes, see QuarantineOptions::m_crashThreshold.
  std::size_t m_counted = 0;
  std::size_t m_total = 0;
};

/// Detects requests that crash upstreams. A fingerprint is quarantined while it has strikes from
/// QuarantineOptions::m_crashThreshold different upstream crashes. Lists of peers are merged by
/// set union: the order and repetition of messages does not matter as long as the list is not
/// full. Not thread safe.
class QuarantineList
{
public:
  /// @param aObserverId random number of this process that makes the ids of its strikes unique.
  QuarantineList(const QuarantineOptions& aOptions, std::uint64_t aObserverId);

  /// Changes the lifetime of strikes that are recorded from now on.
  void SetLifetime(std::chrono::milliseconds aLifetime) { m_options.m_lifetime = aLifetime; }

  /// @param aIncarnation incarnation of the upstream, empty if unknown. Strikes at different
  ///                     incarnations never count as one crash.
  static std::uint64_t HashUpstream(std::string_view aId, std::string_view aIncarnation);

  /// Records that an upstream closed the connection of a request without a response. Must not be
  /// called for refused connections, timeouts or cancelled requests.
  /// @param aUpstream from HashUpstream().
  void RecordLoss(const RequestFingerprint& aFingerprint,
                  std::uint64_t aUpstream,
                  base::MonotonicTime aNow);

  /// Records that a request got its response. Its strikes so far are discounted, since they were
  /// probably caused by requests that ran concurrently.
  void RecordCompleted(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow);

  /// @return whether requests with this fingerprint must be rejected as not-run.
  bool IsQuarantined(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return whether the fingerprint has a strike that has not expired. At most one copy of such a
  ///         request must be dispatched at a time, and only to an upstream without another suspect
  ///         request. The next crash then identifies which of the requests in flight at the first
  ///         crash caused it.
  bool IsSuspect(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return crashes of the strikes that have not expired.
  CrashCounts Crashes(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return all strikes that have not expired, to be sent to peers.
  std::vector<Strike> Strikes(base::MonotonicTime aNow) const;

  /// Adds a peer's strikes.
  void Merge(const std::vector<Strike>& aStrikes, base::MonotonicTime aNow);

  /// @return number of strikes held, including expired ones that are still kept.
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
  void RemoveExpired(base::MonotonicTime aNow);
  void EvictFirstToExpire();
  // Marks strikes that belong to a mass failure. Considers those that expire at aFirstExpiry or
  // later.
  void MarkMassFailures(base::MonotonicTime aFirstExpiry);
  std::size_t CountCrashes(const std::vector<Entry>& aEntries,
                           bool aIncludeDiscounted,
                           base::MonotonicTime aNow) const;

  QuarantineOptions m_options;
  std::uint64_t m_observerId;
  std::uint64_t m_nextStrike = 0;
  EntryMap m_entries;
  std::size_t m_size = 0;
};

} // namespace jaylane::policy
