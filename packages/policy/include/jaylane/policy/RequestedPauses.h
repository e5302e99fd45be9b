#pragma once

#include "jaylane/base/Clock.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace jaylane::policy {

/// Upstreams that asked this VM for a pause when they rejected a request.
/// Load pattern: an upstream that is in need rejects a request while the VM has many more for it.
///
/// A pause ends when the last one that was asked for ends. Not thread safe.
class RequestedPauses
{
public:
  /// Longest pause that is granted. A faulty upstream may ask for any.
  static constexpr std::chrono::minutes kMaxPause{ 5 };

  /// An upstream rejected a request and asked for a pause.
  void OnRejected(const std::string& aUpstream,
                  std::chrono::milliseconds aPause,
                  base::MonotonicTime aNow);

  /// @return whether the upstream may get no requests.
  bool IsPaused(const std::string& aUpstream, base::MonotonicTime aNow) const;

  /// @return time until the upstream may get requests again; 0 if it may.
  std::chrono::milliseconds Remaining(const std::string& aUpstream, base::MonotonicTime aNow) const;

  /// Forgets the pauses that are over.
  /// @return whether any was.
  bool RemoveExpired(base::MonotonicTime aNow);

private:
  std::unordered_map<std::string, base::MonotonicTime> m_ends;
};

} // namespace jaylane::policy
