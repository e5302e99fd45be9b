#include "../bench/UrgencyReplay.h"

#include <gtest/gtest.h>
#include <string>

namespace jaylane::policy::sim {
namespace {

/// @return results of the urgent and the patient kind over several seeds.
std::array<UrgencyReplay::Count, 2> RunSeeds(UrgencyReplay::Options aOptions)
{
  std::array<UrgencyReplay::Count, 2> total;
  for (aOptions.m_seed = 1; aOptions.m_seed <= 6; ++aOptions.m_seed) {
    const auto counts = UrgencyReplay(aOptions).Run();
    for (std::size_t kind = 0; kind < counts.size(); ++kind) {
      total[kind].m_requests += counts[kind].m_requests;
      total[kind].m_onTime += counts[kind].m_onTime;
    }
  }
  return total;
}

// An urgent kind (priority 0, target 500 ms) and a patient kind (priority 2, target 4,000 ms) on
// the same upstreams, with a burst of the patient kind at the peak of the demand. Guards against
// the patient kind filling the upstreams' queues up to a length at which the urgent kind is
// rejected. The urgent kind's share within target must be at least that of the patient kind, which
// must keep 0.9 of what it has without the urgent kind.
TEST(UrgencyReplayTest, TheUrgentKindIsServedAtLeastAsWellAsThePatientOne)
{
  const auto [urgent, patient] = RunSeeds({});
  UrgencyReplay::Options alone;
  alone.m_urgentPerSecond = 0;
  const auto patientAlone = RunSeeds(alone)[1];
  RecordProperty("urgent", std::to_string(urgent.Share()));
  RecordProperty("patient", std::to_string(patient.Share()));
  RecordProperty("patient_alone", std::to_string(patientAlone.Share()));
  EXPECT_GE(urgent.Share(), patient.Share());
  EXPECT_GE(patient.Share(), 0.9 * patientAlone.Share());
}

} // namespace
} // namespace jaylane::policy::sim
