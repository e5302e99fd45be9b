#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/RequestFingerprint.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jaylane::policy {

/// Counts the recent completions of each request in bounded memory. Not thread safe.
class CompletionHistory
{
public:
  struct Options
  {
    /// Completions are remembered for one to two times this time.
    std::chrono::milliseconds m_generationTime{ 10'000 };
    /// Fingerprints counted per generation. Further ones are not counted; those that complete often
    /// are among the first.
    std::size_t m_maxFingerprints = 4096;
  };

  explicit CompletionHistory(const Options& aOptions)
    : m_options(aOptions)
  {
  }

  void Record(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow);
  /// @return recent completions of the fingerprint.
  std::uint32_t Count(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow) const;

private:
  using Generation = std::unordered_map<RequestFingerprint, std::uint32_t>;

  Options m_options;
  base::MonotonicTime m_currentSince;
  Generation m_current;
  Generation m_previous;
};

} // namespace jaylane::policy
