#include "jaylane/policy/QuarantineJournal.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Numbers of the strikes that a record stands for.
enum class RestoredStrike : std::uint64_t
{
  Suspicion,
  FirstRepeat,
  SecondRepeat,
};

Strike MakeStrike(const RequestFingerprint& aFingerprint,
                  RestoredStrike aNumber,
                  milliseconds aRemaining)
{
  const std::array<std::uint64_t, 3> parts{ aFingerprint.m_high,
                                            aFingerprint.m_low,
                                            static_cast<std::uint64_t>(aNumber) };
  Strike strike;
  strike.m_fingerprint = aFingerprint;
  strike.m_id = XXH3_64bits(parts.data(), sizeof(parts));
  strike.m_upstream = strike.m_id; // The upstreams of the crashes are not recorded.
  strike.m_remaining = aRemaining;
  // A discounted strike makes a suspect and convicts nobody.
  strike.m_correlated = aNumber == RestoredStrike::Suspicion;
  strike.m_isRepeat = aNumber != RestoredStrike::Suspicion;
  return strike;
}

} // namespace

void QuarantineJournal::OnCrash(const RequestFingerprint& aFingerprint,
                                bool aWasSuspect,
                                const QuarantineList& aList,
                                base::MonotonicTime aNow)
{
  const auto found = m_findings.find(aFingerprint);
  if (found != m_findings.end()) {
    found->second.m_lastCrash = aNow;
    return;
  }
  const bool isFinding = aWasSuspect || aList.IsQuarantined(aFingerprint, aNow);
  if (isFinding && m_findings.size() < m_options.m_maxFingerprints) {
    m_findings[aFingerprint].m_lastCrash = aNow;
  }
}

std::vector<QuarantineRecord> QuarantineJournal::TakeDue(const QuarantineList& aList,
                                                         base::MonotonicTime aNow,
                                                         base::WallTime aWall)
{
  std::erase_if(m_findings, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_lastCrash >= m_options.m_lifetime;
  });
  std::vector<QuarantineRecord> due;
  for (auto& [fingerprint, finding] : m_findings) {
    if (!finding.m_isSuspicionTaken && aList.IsSuspect(fingerprint, aNow)) {
      finding.m_isSuspicionTaken = true;
      due.push_back({ fingerprint, QuarantineRecord::Verdict::Suspect, aWall });
    }
    if (!aList.IsQuarantined(fingerprint, aNow)) {
      finding.m_convictedSince.reset();
      continue;
    }
    finding.m_convictedSince = finding.m_convictedSince.value_or(aNow);
    if (!finding.m_isConvictionTaken &&
        aNow - *finding.m_convictedSince >= m_options.m_confirmTime) {
      finding.m_isConvictionTaken = true;
      due.push_back({ fingerprint, QuarantineRecord::Verdict::Convicted, aWall });
    }
  }
  return due;
}

bool QuarantineJournal::IsExpired(const QuarantineRecord& aRecord, base::WallTime aWall) const
{
  return aWall - aRecord.m_writtenAt >= m_options.m_lifetime;
}

std::vector<Strike> QuarantineJournal::StrikesOf(const std::vector<QuarantineRecord>& aRecords,
                                                 base::WallTime aWall) const
{
  std::vector<Strike> strikes;
  for (const QuarantineRecord& record : aRecords) {
    const auto age = std::chrono::duration_cast<milliseconds>(aWall - record.m_writtenAt);
    const milliseconds remaining = std::min(m_options.m_lifetime - age, m_options.m_lifetime);
    if (remaining <= milliseconds::zero()) {
      continue;
    }
    if (record.m_verdict == QuarantineRecord::Verdict::Suspect) {
      strikes.push_back(MakeStrike(record.m_fingerprint, RestoredStrike::Suspicion, remaining));
      continue;
    }
    for (const RestoredStrike number :
         { RestoredStrike::FirstRepeat, RestoredStrike::SecondRepeat }) {
      strikes.push_back(MakeStrike(record.m_fingerprint, number, remaining));
    }
  }
  return strikes;
}

} // namespace jaylane::policy
