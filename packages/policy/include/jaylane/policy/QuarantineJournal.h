#pragma once

#include "jaylane/policy/QuarantineList.h"

#include <map>
#include <vector>

namespace jaylane::policy {

/// What is kept of a request that crashes upstreams while no VM remembers it.
struct QuarantineRecord
{
  enum class Verdict
  {
    /// Lost in a crash as a suspect, see QuarantineList::IsSuspect().
    Suspect,
    Convicted,
  };

  RequestFingerprint m_fingerprint;
  Verdict m_verdict = Verdict::Suspect;
  base::WallTime m_writtenAt;

  bool operator==(const QuarantineRecord&) const = default;
};

/// Decides which findings of one VM are recorded to outlive the end of all VMs, and what records
/// are worth to a VM that starts.
/// Load pattern: a crashing request that comes again and again, and kills of all VMs between its
/// copies.
///
/// A harmless request may be lost as a suspect now and then and completes soon after, which is not
/// recorded. So a suspicion alone makes a suspect after a restart but does not count, and a
/// conviction is recorded only if it still holds after a while. Not thread safe.
class QuarantineJournal
{
public:
  struct Options
  {
    /// Time for which a conviction must hold before it is recorded.
    std::chrono::milliseconds m_confirmTime{ 1000 };
    /// Time for which a record counts, that of a strike.
    std::chrono::milliseconds m_lifetime{ std::chrono::minutes{ 5 } };
    /// Fingerprints that this VM records at most within the lifetime.
    std::size_t m_maxFingerprints = 32;
  };

  explicit QuarantineJournal(const Options& aOptions)
    : m_options(aOptions)
  {
  }

  /// An upstream crashed while a request of this VM was in flight there.
  /// @param aWasSuspect whether the request was sent as a suspect.
  /// @param aList knows of the crash.
  void OnCrash(const RequestFingerprint& aFingerprint,
               bool aWasSuspect,
               const QuarantineList& aList,
               base::MonotonicTime aNow);

  /// @return records that are due, each once.
  std::vector<QuarantineRecord> TakeDue(const QuarantineList& aList,
                                        base::MonotonicTime aNow,
                                        base::WallTime aWall);

  /// @return whether a record no longer counts. The clocks of VMs may differ by seconds.
  bool IsExpired(const QuarantineRecord& aRecord, base::WallTime aWall) const;

  /// @return the strikes that the records stand for, the same at each VM.
  std::vector<Strike> StrikesOf(const std::vector<QuarantineRecord>& aRecords,
                                base::WallTime aWall) const;

private:
  struct Finding
  {
    base::MonotonicTime m_lastCrash;
    std::optional<base::MonotonicTime> m_convictedSince;
    bool m_isSuspicionTaken = false;
    bool m_isConvictionTaken = false;
  };

  Options m_options;
  std::map<RequestFingerprint, Finding> m_findings;
};

} // namespace jaylane::policy
