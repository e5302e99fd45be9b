#include "UrgencyReplay.h"

#include <gtest/gtest.h>
#include <iostream>

namespace jaylane::policy::sim {
namespace {

// An urgent kind (priority 0, target 500 ms) and a patient kind (priority 2, target 4,000 ms) on the
// same upstreams, with a burst of the patient kind. Guards against the patient kind filling the
// upstreams' queues up to a length at which the urgent kind is rejected. The urgent kind's share
// within target must be at least that of the patient kind, which keeps 0.9 of what it has alone.
TEST(UrgencyReplayTest, TheUrgentKindIsServedAtLeastAsWellAsThePatientOne)
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    for (const std::uint32_t priority : { 0, 2 }) {
      for (const double urgentRate : { 22.5, 0.0 }) {
        UrgencyReplay::Options options;
        options.m_seed = seed;
        options.m_patientPriority = priority;
        options.m_urgentPerSecond = urgentRate;
        const auto [urgent, patient] = UrgencyReplay(options).Run();
        std::cout << "prio " << priority << " urgent " << urgent.m_requests << " share "
                  << urgent.Share() << " rej " << urgent.m_rejectedBySender << "+"
                  << urgent.m_rejectedByUpstream << " hold " << urgent.m_longestHold.count() / 1000000
                  << " patient " << patient.m_requests << " share " << patient.Share() << " rej "
                  << patient.m_rejectedBySender << "+" << patient.m_rejectedByUpstream << " hold "
                  << patient.m_longestHold.count() / 1000000 << "\n";
      }
    }
  }
}

} // namespace
} // namespace jaylane::policy::sim
