#include "jaylane/policy/CompletionHistory.h"

#include <utility>

namespace jaylane::policy {

void CompletionHistory::Record(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow)
{
  const auto age = aNow - m_currentSince;
  if (age >= m_options.m_generationTime) {
    m_previous = std::exchange(m_current, {});
    if (age >= 2 * m_options.m_generationTime) {
      m_previous.clear();
    }
    m_currentSince = aNow;
  }
  if (m_current.size() < m_options.m_maxFingerprints || m_current.contains(aFingerprint)) {
    ++m_current[aFingerprint];
  }
}

std::uint32_t CompletionHistory::Count(const RequestFingerprint& aFingerprint,
                                       base::MonotonicTime aNow) const
{
  const auto countIn = [&](const Generation& aGeneration) {
    const auto found = aGeneration.find(aFingerprint);
    return found == aGeneration.end() ? 0U : found->second;
  };
  const auto age = aNow - m_currentSince;
  if (age >= 2 * m_options.m_generationTime) {
    return 0;
  }
  return countIn(m_current) + (age < m_options.m_generationTime ? countIn(m_previous) : 0);
}

} // namespace jaylane::policy
