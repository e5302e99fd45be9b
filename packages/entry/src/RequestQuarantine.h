#pragma once

#include "VmContext.h"
#include "jaylane/policy/QuarantineList.h"

#include <mutex>
#include <vector>

namespace jaylane::entry {

/// Thread-safe QuarantineList of this VM.
class RequestQuarantine
{
public:
  RequestQuarantine(const VmContext& aContext, policy::QuarantineOptions aOptions);

  /// Changes the lifetime of strikes recorded from now on.
  void SetLifetime(std::chrono::milliseconds aLifetime);
  bool IsQuarantined(const policy::RequestFingerprint& aFingerprint) const;
  /// @return whether an upstream connection was lost during this request; two suspect requests must
  ///   not run on one upstream at the same time.
  bool IsSuspect(const policy::RequestFingerprint& aFingerprint) const;
  /// Records that an upstream closed the request's connection without a response.
  /// @param aUpstream QuarantineList::HashUpstream() of the upstream.
  /// @param aIsRepeat whether the request was a suspect when it was sent.
  void RecordLoss(const policy::RequestFingerprint& aFingerprint,
                  std::uint64_t aUpstream,
                  bool aIsRepeat);
  void RecordCompleted(const policy::RequestFingerprint& aFingerprint);
  /// @return all live strikes, for peers.
  std::vector<policy::Strike> Strikes() const;
  /// Adds the strikes of a peer.
  void Merge(const std::vector<policy::Strike>& aStrikes);

private:
  const VmContext& m_context;
  mutable std::mutex m_mutex;
  policy::QuarantineList m_list;
};

} // namespace jaylane::entry
