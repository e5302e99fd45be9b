#include "jaylane/policy/ShiftPlanner.h"

#include "CapWindow.h"
#include "ColdBucketMerge.h"
#include "LoadShares.h"
#include "PlacementModel.h"
#include "StepBuilder.h"
#include "TargetPicker.h"
#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jaylane::policy {

using std::chrono::milliseconds;

namespace {

/// Lowest utilization of the live capacity that the floor of bucket weights is derived from.
constexpr double kMinAssumedUtilization = 0.2;
/// Utilization of the live capacity that is assumed for an initial table without measured load.
constexpr double kInitialUtilization = 0.5;

/// Share below which a split bucket is merged, as a fraction of the cap on recovery moves. Half of
/// the fraction above which StepBuilder splits a bucket.
constexpr double kMergeBelow = 0.1;

bool IsFraction(double aValue)
{
  return aValue >= 0 && aValue <= 1;
}

double LiveCapacity(const Topology& aTopology)
{
  double sum = 0;
  for (const auto& site : aTopology.m_sites) {
    sum += site.m_state == SiteState::Live && site.m_capacity > 0 ? site.m_capacity : 0;
  }
  return sum;
}

base::Result<LoadShares> MakeShares(const SteeringTable& aTable, const PlanInput& aInput)
{
  return LoadShares::Make(aInput.m_load,
                          aTable.BucketCount(),
                          aInput.m_limits.m_weightFloor,
                          kMinAssumedUtilization * LiveCapacity(aInput.m_topology));
}

/// @return the allowed site with the best score, or kNoSite.
SiteIndex BestIgnoringCapacity(const PlacementModel& aModel, OriginIndex aOrigin, double aWeight)
{
  SiteIndex best = kNoSite;
  for (std::size_t i = 0; i < aModel.SiteCount(); ++i) {
    const auto site = static_cast<SiteIndex>(i);
    if (aModel.IsTarget(aOrigin, site, MoveReason::DeadSite) &&
        (best == kNoSite ||
         aModel.Score(aOrigin, site, aWeight) < aModel.Score(aOrigin, best, aWeight))) {
      best = site;
    }
  }
  return best;
}

void AssignAll(SteeringTable& aTable, PlacementModel& aModel, const LoadShares& aShares)
{
  std::vector<std::uint32_t> buckets(aTable.BucketCount());
  std::iota(buckets.begin(), buckets.end(), 0);
  std::stable_sort(buckets.begin(), buckets.end(), [&](std::uint32_t aLeft, std::uint32_t aRight) {
    return aShares.Weight(aLeft) > aShares.Weight(aRight);
  });
  TargetPicker picker(aModel);
  for (const auto bucket : buckets) {
    const auto origin = static_cast<OriginIndex>(bucket / kBucketsPerOrigin);
    const auto weight = aShares.Weight(bucket);
    auto target = picker.Pick(origin, kNoSite, MoveReason::DeadSite, weight);
    if (target == kNoSite) {
      target = BestIgnoringCapacity(aModel, origin, weight);
    }
    if (target != kNoSite) {
      aTable.Assign(bucket, target);
      aModel.AddLoad(origin, target, weight);
    }
  }
}

Plan MakePlan(PlanState aState, const SteeringTable& aTable, base::WallTime aNextAt)
{
  return Plan{ aState, aTable, 0, {}, {}, aNextAt };
}

} // namespace

std::string_view to_string(MoveReason aReason)
{
  switch (aReason) {
    case MoveReason::DeadSite:
      return "dead-site";
    case MoveReason::LegalRule:
      return "legal-rule";
    case MoveReason::PendingRule:
      return "pending-rule";
    case MoveReason::Drain:
      return "drain";
    case MoveReason::Recovery:
      return "recovery";
  }
  return "unknown";
}

base::Status Validate(const ShiftLimits& aLimits)
{
  const auto invalid = [](const char* aName) {
    return base::Error{ PolicyErrc::InvalidLimits, aName };
  };
  if (!IsFraction(aLimits.m_plannedCap)) {
    return invalid("planned cap");
  }
  if (aLimits.m_window <= milliseconds::zero()) {
    return invalid("window");
  }
  if (aLimits.m_maxClockDifference < milliseconds::zero()) {
    return invalid("clock difference");
  }
  if (aLimits.m_lookupLifetime < milliseconds::zero()) {
    return invalid("lookup lifetime");
  }
  if (!IsFraction(aLimits.m_reserve)) {
    return invalid("reserve");
  }
  if (!IsFraction(aLimits.m_weightFloor) || aLimits.m_weightFloor == 0) {
    return invalid("weight floor");
  }
  if (!IsFraction(aLimits.m_latencyWeight) ||
      aLimits.m_latencyScale <= std::chrono::microseconds::zero()) {
    return invalid("latency weight or scale");
  }
  if (aLimits.m_recoveryHold < milliseconds::zero() || !IsFraction(aLimits.m_recoveryFraction) ||
      !(aLimits.m_recoveryMargin >= 0)) {
    return invalid("recovery");
  }
  return base::Success{};
}

base::Result<Plan> ShiftPlanner::PlanStep(const SteeringTable& aCurrent,
                                          base::WallTime aSeenAt,
                                          const PlanInput& aInput,
                                          base::WallTime aNow)
{
  const auto& limits = aInput.m_limits;
  if (auto status = Validate(limits); !status) {
    return status.GetError();
  }
  const auto shares = MakeShares(aCurrent, aInput);
  if (!shares) {
    return shares.GetError();
  }
  // VMs may disagree about a move's age by the difference of their clocks, so the window is longer
  // by its upper bound.
  CapWindow window(aCurrent, *shares, aSeenAt, limits.m_window + limits.m_maxClockDifference, aNow);
  if (!window.IsComplete()) {
    return MakePlan(PlanState::CapReached, aCurrent, window.NextReleaseAt());
  }
  const auto stepLength = limits.m_lookupLifetime + limits.m_maxClockDifference;
  if (!window.Moves().empty() && aNow < window.LastMoveAt() + stepLength) {
    return MakePlan(PlanState::StepPending, aCurrent, window.LastMoveAt() + stepLength);
  }
  auto table = aCurrent;
  AddMissingSites(table, aInput.m_topology);
  auto model = PlacementModel::Make(table, aInput, aNow);
  if (!model) {
    return model.GetError();
  }
  model->AddLoads(table, *shares);
  StepBuilder builder(table, *shares, *model, window, limits, aNow);
  builder.AddRequiredMoves();
  builder.AddRecoveryMoves();
  auto plan = MakePlan(PlanState::Settled, aCurrent, aNow + stepLength);
  builder.Report(plan);
  if (plan.m_state == PlanState::CapReached && !window.Moves().empty()) {
    plan.m_nextAt = window.NextReleaseAt();
  }
  if (plan.m_state == PlanState::Step) {
    table.SetGeneration(aCurrent.Generation() + 1);
    for (auto& move : builder.MakeMoveRecords(table.Generation())) {
      window.Append(std::move(move));
    }
    MergeColdBuckets(table,
                     *shares,
                     *model,
                     window,
                     kMergeBelow * limits.m_plannedCap * limits.m_recoveryFraction);
    window.StoreIn(table);
    plan.m_table = std::move(table);
  }
  return plan;
}

base::Result<SteeringTable> ShiftPlanner::MakeInitial(const SteeringTable& aEmpty,
                                                      const PlanInput& aInput,
                                                      base::WallTime aNow)
{
  if (auto status = Validate(aInput.m_limits); !status) {
    return status.GetError();
  }
  auto table = aEmpty;
  AddMissingSites(table, aInput.m_topology);
  const auto model = PlacementModel::Make(table, aInput, aNow);
  if (!model) {
    return model.GetError();
  }
  BucketLoad assumed = aInput.m_load;
  const auto& loads = assumed.m_buckets;
  if (std::none_of(loads.begin(), loads.end(), [](double aLoad) { return aLoad > 0; })) {
    const auto mean = kInitialUtilization * model->LiveCapacity() / table.BucketCount();
    assumed.m_buckets.assign(table.BucketCount(), mean);
  }
  const auto shares =
    LoadShares::Make(assumed, table.BucketCount(), aInput.m_limits.m_weightFloor, 0);
  if (!shares) {
    return shares.GetError();
  }
  auto loaded = *model;
  AssignAll(table, loaded, *shares);
  return table;
}

} // namespace jaylane::policy
