#pragma once

#include "jaylane/policy/QuarantineList.h"

#include <unordered_map>

namespace jaylane::policy {

/// Decides how one VM may send a request that was in flight when upstreams crashed.
/// Load pattern: copies of a crashing request that arrive at all VMs faster than a crash is
/// noticed, with harmless requests that were lost beside them.
///
/// A VM sends a suspect to one upstream at a time, so that a crashing request ends few upstreams
/// until it is convicted, and a harmless one is cleared by its next completion. Not thread safe.
class CrashContainment
{
public:
  enum class Admission
  {
    Ordinary,
    /// One attempt without a hedge, and no further one if it is lost. Its start and end are
    /// reported by OnSuspectSent() and OnSuspectEnded().
    Suspect,
    /// A copy of the suspect is running at this VM.
    Busy,
    Quarantined,
  };

  CrashContainment(const QuarantineOptions& aOptions, std::uint64_t aObserverId)
    : m_list(aOptions, aObserverId)
  {
  }

  /// @param aWasLost whether an earlier attempt of the same request was lost. It is not known yet
  ///                 whether its upstream crashed.
  Admission Admit(const RequestFingerprint& aFingerprint,
                  bool aWasLost,
                  base::MonotonicTime aNow) const;

  void OnSuspectSent(const RequestFingerprint& aFingerprint);
  void OnSuspectEnded(const RequestFingerprint& aFingerprint);

  /// An upstream crashed while a request of this VM was in flight there.
  /// @param aUpstream QuarantineList::HashUpstream() of the upstream.
  /// @param aWasSuspect whether the request was sent as a suspect.
  void OnCrash(const RequestFingerprint& aFingerprint,
               std::uint64_t aUpstream,
               bool aWasSuspect,
               base::MonotonicTime aNow);
  void OnCompleted(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow);
  void OnPeerStrikes(const std::vector<Strike>& aStrikes, base::MonotonicTime aNow);

  /// An operator has lifted the quarantine of a request.
  void Lift(const RequestFingerprint& aFingerprint) { m_list.Lift(aFingerprint); }

  /// @return whether other VMs should be told at once: since the last call, this VM saw a crash or
  ///         heard of the crash of a suspect. Each VM passes on each strike at most once this way.
  bool TakeNews();

  const QuarantineList& List() const { return m_list; }

private:
  QuarantineList m_list;
  bool m_hasNews = false;
  /// Number of suspect attempts in progress.
  std::unordered_map<RequestFingerprint, std::size_t> m_running;
};

} // namespace jaylane::policy
