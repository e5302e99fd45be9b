#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/CompletionHistory.h"
#include "jaylane/policy/RequestFingerprint.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>
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
  /// The request was sent as a suspect, see QuarantineList::IsSuspect().
  bool m_isRepeat = false;
  /// Requests with the same fingerprint that have completed at one VM, the one that saw most of
  /// them, since the strike, and before if there were QuarantineOptions::m_completionsPerCrash. Not
  /// counted beyond QuarantineList::kMaxCompletions.
  std::uint32_t m_completions = 0;
  /// The VM that saw the crash had seen the request complete shortly before.
  bool m_hadCompleted = false;

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
  /// precede a completion of the request are discounted, that is, not counted here. Neither are
  /// crashes during which a request was in flight that was present at more of them.
  std::size_t m_crashThreshold = 2;
  /// The same for crashes during which the request was a suspect. Since it ran apart from its
  /// copies, mass failures do not discount them.
  std::size_t m_repeatThreshold = 2;
  /// If at least this many fingerprints would be quarantined by the two thresholds above, none is:
  /// they have no common cause among them.
  std::size_t m_maxCulprits = 8;
  /// Different upstreams at whose crashes the request was present, including discounted strikes,
  /// unless a request that was present at more of them explains them. Bounds the cost of a request
  /// that crashes only some upstreams.
  std::size_t m_totalUpstreamThreshold = 4;
  /// Crashes, whatever explains them, after which a fingerprint is quarantined. Bounds the cost of
  /// a request that is resent during a mass failure or arrives together with many similar ones.
  std::size_t m_totalCrashThreshold = 4;
  /// Completions that offset one crash of the two totals; at least 1. A request that has completed
  /// so often shortly before its loss gets a discounted strike.
  std::uint32_t m_completionsPerCrash = 8;
  /// Strikes kept at most. If there are more, the one that expires first is dropped.
  std::size_t m_maxStrikes = 4096;

  /// @return options for requests whose path many callers share, so that a wrong quarantine costs
  ///         many requests.
  static QuarantineOptions MakeForSharedPaths();
};

/// Crashes during which requests with one fingerprint were in flight.
struct CrashCounts
{
  /// Different upstreams.
  std::size_t m_upstreams = 0;
  /// Without discounted strikes, see QuarantineOptions::m_crashThreshold.
  std::size_t m_counted = 0;
  /// Those of m_counted during which the request was a suspect.
  std::size_t m_repeats = 0;
  std::size_t m_total = 0;
};

/// Detects requests that crash upstreams.
/// Load pattern: one request that ends each upstream which runs it, sent again and again to any VM,
/// and other requests that are lost with it.
///
/// What a fingerprint was present at counts against it. A request that is lost by chance completes
/// when it is sent again as a suspect; one that was present at the crashes of another is exonerated
/// once that one is present at more. Lists of peers are merged by set union: the order and
/// repetition of messages does not matter as long as the list is not full. Not thread safe.
class QuarantineList
{
public:
  static constexpr std::uint32_t kMaxCompletions = 1U << 16;

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
  /// @param aIsRepeat whether the request was a suspect when it was sent.
  void RecordLoss(const RequestFingerprint& aFingerprint,
                  std::uint64_t aUpstream,
                  base::MonotonicTime aNow,
                  bool aIsRepeat = false);

  /// Records that a request got its response. Must be called for every request. Its strikes so far
  /// are discounted, since they were probably caused by requests that ran concurrently.
  void RecordCompleted(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow);

  /// An operator has decided that the fingerprint's strikes do not count. Peers hear of it with the
  /// strikes.
  void Lift(const RequestFingerprint& aFingerprint);

  /// @return whether any fingerprint is quarantined.
  bool HasQuarantined(base::MonotonicTime aNow) const;

  /// @return whether requests with this fingerprint must be rejected as not-run.
  bool IsQuarantined(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return whether the fingerprint has a strike that has not expired and no completion since. At
  ///         most one copy of such a request must be dispatched at a time, without hedging, and not
  ///         again if it is lost. The next crash then tells which of the requests in flight at the
  ///         first crash caused it.
  bool IsSuspect(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return crashes of the strikes that have not expired, whether or not another request explains
  ///         them.
  CrashCounts Crashes(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

  /// @return all strikes that have not expired, to be sent to peers.
  std::vector<Strike> Strikes(base::MonotonicTime aNow) const;

  /// @return strikes to be sent to peers if a message cannot hold all: those of the fingerprints
  ///         that were present at most crashes first, a few of each, then the newest.
  std::vector<Strike> StrikesToAnnounce(std::size_t aMaxCount, base::MonotonicTime aNow) const;

  /// Adds a peer's strikes.
  /// @return whether one of them was not known and tells of a crash of a suspect.
  bool Merge(const std::vector<Strike>& aStrikes, base::MonotonicTime aNow);

  /// @return number of strikes held, including expired ones that are still kept.
  std::size_t size() const { return m_size; }

private:
  struct Entry
  {
    std::uint64_t m_id = 0;
    std::uint64_t m_upstream = 0;
    base::MonotonicTime m_expiry;
    bool m_correlated = false;
    bool m_isRepeat = false;
    std::uint32_t m_completions = 0;
    bool m_hadCompleted = false;

    bool operator==(const Entry&) const = default;
  };
  /// Strikes of one fingerprint at one upstream within QuarantineOptions::m_sameCrashWindow.
  struct Crash
  {
    std::uint64_t m_upstream = 0;
    base::MonotonicTime m_firstExpiry;
    /// Whether no request with the fingerprint has completed since.
    bool m_isOpen = false;
    bool m_isCounted = false;
    bool m_isRepeat = false;
  };
  /// What the strikes of one fingerprint amount to.
  struct Evidence
  {
    RequestFingerprint m_fingerprint;
    std::vector<Crash> m_crashes;
    CrashCounts m_counts;
    /// Crashes without a completion since, whether or not they belong to a mass failure.
    std::size_t m_open = 0;
    std::size_t m_strikes = 0;
    std::uint32_t m_completions = 0;
    /// Whether a request with the fingerprint has completed lately, so that it does not crash every
    /// upstream.
    bool m_hasCompleted = false;
  };
  using EntryMap = std::unordered_map<RequestFingerprint, std::vector<Entry>>;

  /// @return whether the strike was not known.
  bool Add(const RequestFingerprint& aFingerprint, const Entry& aEntry);
  /// Takes over what another copy of the same strike knows.
  void Combine(Entry& aEntry, const Entry& aOther);
  void RemoveExpired(base::MonotonicTime aNow);
  void EvictFirstToExpire();
  /// Marks strikes that belong to a mass failure with strikes that expire in the given span.
  void MarkMassFailures(base::MonotonicTime aFirstExpiry, base::MonotonicTime aLastExpiry);
  Evidence Weigh(const RequestFingerprint& aFingerprint,
                 const std::vector<Entry>& aEntries,
                 base::MonotonicTime aNow) const;
  bool ReachesThreshold(const CrashCounts& aCounts) const;
  /// @return crashes that the fingerprint's completions offset.
  std::size_t OffsetBy(const Evidence& aEvidence) const;
  /// @return the counts without crashes that the other request was present at.
  CrashCounts CountsWithout(const Evidence& aEvidence, const std::vector<Crash>& aExplained) const;
  /// @return the evidence against all fingerprints that it may convict, those that explain most
  ///         crashes first.
  std::vector<Evidence> WeighAll(base::MonotonicTime aNow) const;
  /// Decides which fingerprints are quarantined, if anything has changed.
  void UpdateQuarantined(base::MonotonicTime aNow) const;
  /// @return the newest strikes, repeats first, that are announced of one fingerprint.
  static std::vector<const Entry*> NewestEntries(const std::vector<Entry>& aEntries,
                                                 base::MonotonicTime aNow);
  Strike ToStrike(const RequestFingerprint& aFingerprint,
                  const Entry& aEntry,
                  base::MonotonicTime aNow) const;

  QuarantineOptions m_options;
  std::uint64_t m_observerId;
  std::uint64_t m_nextStrike = 0;
  EntryMap m_entries;
  std::size_t m_size = 0;
  CompletionHistory m_completed{ {} };
  /// Result of UpdateQuarantined(), which holds until m_validUntil unless m_hasChanged.
  mutable std::unordered_set<RequestFingerprint> m_quarantined;
  mutable base::MonotonicTime m_validUntil;
  mutable bool m_hasChanged = false;
};

} // namespace jaylane::policy
