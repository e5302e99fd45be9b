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

  void SetLifetime(std::chrono::milliseconds aLifetime);
  bool IsQuarantined(const policy::RequestFingerprint& aFingerprint) const;
  /// @return whether a lost connection counts against the request, so that it must not run beside
  ///   another such request.
  bool IsSuspect(const policy::RequestFingerprint& aFingerprint) const;
  void RecordLoss(const policy::RequestFingerprint& aFingerprint, std::uint64_t aUpstream);
  void RecordCompleted(const policy::RequestFingerprint& aFingerprint);
  std::vector<policy::Strike> Strikes() const;
  void Merge(const std::vector<policy::Strike>& aStrikes);

private:
  const VmContext& m_context;
  mutable std::mutex m_mutex;
  policy::QuarantineList m_list;
};

} // namespace jaylane::entry
