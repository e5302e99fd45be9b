#pragma once

#include "jaylane/policy/ShiftPlanner.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::policy::testing {

using std::chrono::milliseconds;

inline constexpr base::WallTime kStart{ std::chrono::seconds{ 1'700'000'000 } };

/// @return aRegions regions r0, r1, ... of two zones each; the origin ri is close to region ri.
Topology MakeTopology(int aRegions, double aSiteCapacity);

/// @return origins r0, r1, ... of the topology's regions.
std::vector<std::string> MakeOrigins(int aCount);

/// @return input with the same load in each bucket and limits suited to short tests.
PlanInput MakeInput(int aRegions, int aOrigins, double aTotalLoad, double aSiteCapacity);

/// @return initial table for the input.
SteeringTable MakeTable(const PlanInput& aInput, int aOrigins);

/// @return measured share of the load that two tables assign to different sites.
double MovedShare(const SteeringTable& aFrom, const SteeringTable& aTo, const BucketLoad& aLoad);

/// @return measured load at each site of the table.
std::vector<double> SiteLoads(const SteeringTable& aTable, const BucketLoad& aLoad);

/// @return sum of a table's load at the sites that aSelect accepts, relative to the total.
template<typename F>
double ShareWhere(const SteeringTable& aTable, const BucketLoad& aLoad, F aSelect)
{
  const auto loads = SiteLoads(aTable, aLoad);
  double sum = 0;
  double total = 0;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    total += loads[i];
    sum += aSelect(aTable.Sites()[i]) ? loads[i] : 0;
  }
  return sum / total;
}

/// Load moved by a table that was published to the store.
struct PublishedMove
{
  base::WallTime m_at{}; ///< By the reference clock.
  double m_share = 0;
};

/// @return largest sum of shares moved within any window of the given length.
double MaxMovedInWindow(const std::vector<PublishedMove>& aMoves, milliseconds aWindow);

/// Simulates planners on several VMs with different clocks and one store, while sites, loads and
/// legal rules change.
class ShiftSimulation
{
public:
  static constexpr int kVms = 3;
  static constexpr int kRegions = 3;

  /// @param aSeed of the random loads; the events come from Run().
  /// @param aClockSpread largest difference between the VMs' clocks.
  ShiftSimulation(std::uint32_t aSeed, milliseconds aClockSpread);

  /// Performs one event for each number of the script.
  void Run(const std::vector<std::uint32_t>& aScript);

  const std::vector<PublishedMove>& Moves() const { return m_moves; }
  const PlanInput& Input() const { return m_input; }
  /// @return description of a violation of a bound other than the cap, or empty if there was none.
  const std::string& Violation() const { return m_violation; }

private:
  struct Vm
  {
    milliseconds m_offset{ 0 };
    std::uint64_t m_seenGeneration = 0;
    base::WallTime m_seenAt{};
    /// Table planned but not published yet, as by a process that was paused in between.
    std::optional<SteeringTable> m_planned;
    std::uint64_t m_plannedBase = 0;
    PlanInput m_plannedInput;
  };

  void ChangeSite(std::uint32_t aChoice);
  void ChangeLoad(std::uint32_t aChoice);
  void ChangeRules(std::uint32_t aChoice);
  void PlanAt(Vm& aVm, bool aDeferPublishing);
  void Publish(Vm& aVm);
  void Check(const SteeringTable& aNext, const PlanInput& aInput);
  void CheckTargets(const SteeringTable& aNext, const PlanInput& aInput);

  std::mt19937 m_random;
  base::WallTime m_now = kStart;
  PlanInput m_input;
  std::vector<LegalRule> m_rules;
  SteeringTable m_store;
  std::vector<Vm> m_vms;
  std::vector<PublishedMove> m_moves;
  std::string m_violation;
};

} // namespace jaylane::policy::testing
