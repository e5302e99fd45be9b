#include "jaylane/policy/Forecast.h"

#include "LoadShares.h"
#include "PlacementModel.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace jaylane::policy {

namespace {

/// Limit on planning rounds, relative to the limit on steps. Some rounds move nothing: they split
/// buckets or wait until moves leave the window.
constexpr std::size_t kMaxRoundsPerStep = 4;

/// Repeats planning on copies of the table and the input, at the times that the planner proposes.
class DryRun
{
public:
  DryRun(const SteeringTable& aTable, const PlanInput& aInput, base::WallTime aNow)
    : m_table(aTable)
    , m_input(aInput)
    , m_now(aNow)
    , m_seenAt(aNow)
  {
    m_forecast.m_endAt = aNow;
    for (const auto& rule : aInput.m_legal.Rules()) {
      if (rule.m_effectiveAt > aNow) {
        m_pending.push_back(&rule);
      }
    }
    std::sort(
      m_pending.begin(), m_pending.end(), [](const LegalRule* aLeft, const LegalRule* aRight) {
        return aLeft->m_effectiveAt > aRight->m_effectiveAt;
      });
  }

  base::Result<Forecast> Run(std::size_t aMaxSteps)
  {
    AssumeEvenParts();
    if (auto status = UpdatePeaks(); !status) {
      return status.GetError();
    }
    for (std::size_t round = 0;
         m_forecast.m_steps.size() < aMaxSteps && round < kMaxRoundsPerStep * aMaxSteps;
         ++round) {
      auto plan = ShiftPlanner::PlanStep(m_table, m_seenAt, m_input, m_now);
      if (!plan) {
        return plan.GetError();
      }
      m_forecast.m_finalState = plan->m_state;
      if (plan->m_state == PlanState::Step) {
        if (auto status = ApplyStep(*plan); !status) {
          return status.GetError();
        }
      }
      const auto next = NextTime(*plan);
      if (!next) {
        break;
      }
      RecordRulesUntil(*next);
      m_now = *next;
    }
    RecordRulesUntil(base::WallTime::max());
    return std::move(m_forecast);
  }

private:
  base::Status ApplyStep(Plan& aPlan)
  {
    if (aPlan.m_movedShare > 0) {
      m_forecast.m_steps.push_back({ m_now, aPlan.m_movedShare, aPlan.m_movedByReason });
      m_forecast.m_endAt = m_now;
    }
    m_table = std::move(aPlan.m_table);
    m_seenAt = m_now;
    AssumeEvenParts();
    return UpdatePeaks();
  }

  /// @return next time at which planning may have another result, or nothing if time alone does not
  ///   change it any more.
  std::optional<base::WallTime> NextTime(const Plan& aPlan) const
  {
    if (aPlan.m_state == PlanState::Step || aPlan.m_state == PlanState::StepPending ||
        aPlan.m_state == PlanState::CapReached) {
      const auto earliest = m_now + std::chrono::milliseconds{ 1 };
      return std::max(earliest, aPlan.m_nextAt);
    }
    std::optional<base::WallTime> next;
    const auto consider = [&](base::WallTime aTime) {
      if (aTime > m_now && (!next || aTime < *next)) {
        next = aTime;
      }
    };
    for (const auto* rule : m_pending) {
      consider(rule->m_effectiveAt);
    }
    for (const auto& site : m_input.m_topology.m_sites) {
      consider(site.m_liveSince + m_input.m_limits.m_recoveryHold);
    }
    return next;
  }

  /// Records for all rules that come into force by aUntil what they refuse under the present table.
  void RecordRulesUntil(base::WallTime aUntil)
  {
    while (!m_pending.empty() && m_pending.back()->m_effectiveAt <= aUntil) {
      const auto& rule = *m_pending.back();
      m_forecast.m_rules.push_back({ rule.m_id, rule.m_effectiveAt, RefusedShare(rule) });
      m_pending.pop_back();
    }
  }

  double RefusedShare(const LegalRule& aRule) const
  {
    const auto& loads = m_input.m_load.m_buckets;
    const auto total = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (total <= 0) {
      return 0;
    }
    double refused = 0;
    for (std::uint32_t bucket = 0; bucket < m_table.BucketCount(); ++bucket) {
      const auto& origin = m_table.Origins()[bucket / kBucketsPerOrigin];
      if (!aRule.m_origin.empty() && aRule.m_origin != origin) {
        continue;
      }
      for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
        const auto& region = m_table.SiteAt(m_table.SiteOf(bucket, part)).m_region;
        const auto& allowed = aRule.m_allowedRegions;
        if (std::find(allowed.begin(), allowed.end(), region) == allowed.end()) {
          refused += loads[bucket] * PartFraction(bucket, part);
        }
      }
    }
    return refused / total;
  }

  /// @return load of a part as a fraction of its bucket's load.
  double PartFraction(std::uint32_t aBucket, std::uint32_t aPart) const
  {
    const auto found = m_input.m_load.m_parts.find(aBucket);
    if (!m_table.IsSplit(aBucket) || found == m_input.m_load.m_parts.end()) {
      return 1.0 / kPartsPerBucket;
    }
    const auto sum = std::accumulate(found->second.begin(), found->second.end(), 0.0);
    return sum > 0 ? found->second[aPart] / sum : 1.0 / kPartsPerBucket;
  }

  /// Spreads the load of split buckets evenly over their parts where these are not measured yet.
  void AssumeEvenParts()
  {
    const auto& loads = m_input.m_load.m_buckets;
    for (std::uint32_t bucket = 0; bucket < m_table.BucketCount() && bucket < loads.size();
         ++bucket) {
      if (m_table.IsSplit(bucket) && !m_input.m_load.m_parts.contains(bucket)) {
        m_input.m_load.m_parts[bucket].fill(loads[bucket] / kPartsPerBucket);
      }
    }
  }

  base::Status UpdatePeaks()
  {
    AddMissingSites(m_table, m_input.m_topology);
    const auto shares =
      LoadShares::Make(m_input.m_load, m_table.BucketCount(), m_input.m_limits.m_weightFloor, 0);
    if (!shares) {
      return shares.GetError();
    }
    auto model = PlacementModel::Make(m_table, m_input, m_now);
    if (!model) {
      return model.GetError();
    }
    model->AddLoads(m_table, *shares);
    const auto raise = [](double& aPeak, double aValue) { aPeak = std::max(aPeak, aValue); };
    for (std::size_t i = 0; i < model->SiteCount(); ++i) {
      const auto site = static_cast<SiteIndex>(i);
      raise(m_forecast.m_peak.m_sites[m_table.SiteAt(site)], model->SiteUtilization(site));
    }
    for (std::size_t region = 0; region < model->Regions().size(); ++region) {
      const auto& name = model->Regions()[region];
      raise(m_forecast.m_peak.m_regions[name], model->RegionUtilization(region));
      for (std::size_t origin = 0; origin < model->OriginCount(); ++origin) {
        raise(m_forecast.m_peak.m_links[{ m_table.Origins()[origin], name }],
              model->LinkUtilization(static_cast<OriginIndex>(origin), region));
      }
    }
    return base::Success{};
  }

  SteeringTable m_table;
  PlanInput m_input;
  base::WallTime m_now;
  base::WallTime m_seenAt;
  std::vector<const LegalRule*> m_pending; ///< Latest first.
  Forecast m_forecast;
};

} // namespace

base::Result<Forecast> MakeForecast(const SteeringTable& aCurrent,
                                    const PlanInput& aInput,
                                    base::WallTime aNow,
                                    std::size_t aMaxSteps)
{
  return DryRun(aCurrent, aInput, aNow).Run(aMaxSteps);
}

} // namespace jaylane::policy
