#include "StepBuilder.h"

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>

namespace jaylane::policy {

namespace {

/// Buckets with a larger share, as a fraction of the cap, are split before they move: with units of
/// at most a fifth of the cap, a greedy step can use at least four fifths of it.
constexpr double kMaxUnitShare = 0.2;
/// A paced step uses the cap in proportion to the time since the last step, counting at most
/// 1/kPacedStepsPerWindow of the window or the lookup lifetime, whichever is longer. Bounds the
/// first step after a quiet time, because moved load reaches cold caches.
constexpr int kPacedStepsPerWindow = 4;

/// Number of units of one site that fail to move to a better one before the rest of them is
/// skipped. Bounds the work of a step.
constexpr int kMaxRecoveryFailures = 64;

template<typename F>
void ForEachPart(PartMask aParts, F aVisit)
{
  for (; aParts != 0; aParts &= aParts - 1) {
    aVisit(static_cast<std::uint32_t>(std::countr_zero(aParts)));
  }
}

OriginIndex OriginOf(std::uint32_t aBucket)
{
  return static_cast<OriginIndex>(aBucket / kBucketsPerOrigin);
}

void AppendRun(std::vector<PartRun>& aRuns, std::uint32_t aFirst, std::uint32_t aCount)
{
  if (!aRuns.empty() && aRuns.back().m_first + aRuns.back().m_count == aFirst) {
    aRuns.back().m_count += aCount;
  } else {
    aRuns.push_back({ aFirst, aCount });
  }
}

/// @return whether aLeft moves after aRight. The most urgent units move first, then the heaviest:
///   idle buckets count with a minimum share each and must not use up the cap before busy ones.
bool IsLater(const MoveUnit& aLeft, const MoveUnit& aRight)
{
  return std::tie(aRight.m_reason, aLeft.m_weight, aRight.m_bucket, aRight.m_parts) <
         std::tie(aLeft.m_reason, aRight.m_weight, aLeft.m_bucket, aLeft.m_parts);
}

} // namespace

StepBuilder::StepBuilder(SteeringTable& aTable,
                         const LoadShares& aShares,
                         PlacementModel& aModel,
                         const CapWindow& aWindow,
                         const ShiftLimits& aLimits,
                         base::WallTime aNow)
  : m_table(aTable)
  , m_shares(aShares)
  , m_model(aModel)
  , m_window(aWindow)
  , m_limits(aLimits)
  , m_now(aNow)
  , m_splitAbove(kMaxUnitShare * aLimits.m_plannedCap)
{
}

double StepBuilder::PacingLimit(double aCap) const
{
  const auto longest =
    std::max(m_limits.m_lookupLifetime, m_limits.m_window / kPacedStepsPerWindow);
  std::chrono::duration<double> elapsed = longest;
  if (const auto last = m_window.LastMoveAt(); m_now - longest < last) {
    elapsed = m_now - last;
  }
  return aCap * std::min(1.0, elapsed / m_limits.m_window);
}

MoveUnit StepBuilder::MakeUnit(std::uint32_t aBucket,
                               PartMask aParts,
                               SiteIndex aFrom,
                               MoveReason aReason) const
{
  return { aBucket,
           aParts,
           aFrom,
           aReason,
           m_shares.Share(aBucket, aParts),
           m_shares.Weight(aBucket, aParts) };
}

void StepBuilder::AddPartUnits(std::uint32_t aBucket,
                               SiteIndex aSite,
                               MoveReason aReason,
                               std::vector<MoveUnit>& aUnits) const
{
  PartMask unmeasured = 0;
  for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
    if (m_table.SiteOf(aBucket, part) != aSite) {
      continue;
    }
    const auto mask = PartMask{ 1 } << part;
    if (m_shares.HasMeasuredParts(aBucket)) {
      aUnits.push_back(MakeUnit(aBucket, mask, aSite, aReason));
    } else {
      unmeasured |= mask;
    }
  }
  if (unmeasured != 0) {
    // Unmeasured parts count with the whole bucket's share each, so they move together.
    aUnits.push_back(MakeUnit(aBucket, unmeasured, aSite, aReason));
  }
}

void StepBuilder::AddUnits(std::uint32_t aBucket,
                           SiteIndex aSite,
                           MoveReason aReason,
                           std::vector<MoveUnit>& aUnits)
{
  // With a cap of zero, parts could not move either.
  if (!m_table.IsSplit(aBucket) && m_splitAbove > 0 && m_shares.Share(aBucket) > m_splitAbove) {
    m_didSplit = m_table.Split(aBucket) || m_didSplit;
  }
  if (m_table.IsSplit(aBucket)) {
    AddPartUnits(aBucket, aSite, aReason, aUnits);
  } else {
    aUnits.push_back(MakeUnit(aBucket, kAllParts, aSite, aReason));
  }
}

std::vector<MoveUnit> StepBuilder::RequiredUnits()
{
  std::vector<std::optional<MoveReason>> reasons;
  for (std::size_t i = 0; i < m_model.OriginCount() * m_model.SiteCount(); ++i) {
    reasons.push_back(m_model.RequiredMoveReason(i / m_model.SiteCount(), i % m_model.SiteCount()));
  }
  std::vector<MoveUnit> units;
  for (std::uint32_t bucket = 0; bucket < m_table.BucketCount(); ++bucket) {
    const auto* row = &reasons[OriginOf(bucket) * m_model.SiteCount()];
    if (!m_table.IsSplit(bucket)) {
      const auto site = m_table.SiteOf(bucket);
      if (row[site]) {
        AddUnits(bucket, site, *row[site], units);
      }
      continue;
    }
    std::set<SiteIndex> sites;
    for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
      sites.insert(m_table.SiteOf(bucket, part));
    }
    for (const auto site : sites) {
      if (row[site]) {
        AddUnits(bucket, site, *row[site], units);
      }
    }
  }
  return units;
}

void StepBuilder::Apply(const MoveUnit& aUnit, SiteIndex aTo)
{
  const auto origin = OriginOf(aUnit.m_bucket);
  m_model.AddLoad(origin, aUnit.m_from, -aUnit.m_weight);
  m_model.AddLoad(origin, aTo, aUnit.m_weight);
  if (m_table.IsSplit(aUnit.m_bucket)) {
    ForEachPart(aUnit.m_parts,
                [&](std::uint32_t aPart) { m_table.AssignPart(aUnit.m_bucket, aPart, aTo); });
  } else {
    m_table.Assign(aUnit.m_bucket, aTo);
  }
  m_movedShare += aUnit.m_share;
  m_movedByReason[static_cast<std::size_t>(aUnit.m_reason)] += aUnit.m_share;
  m_moved.push_back(aUnit);
}

StepBuilder::Outcome StepBuilder::TryMove(const MoveUnit& aUnit,
                                          TargetPicker& aPicker,
                                          double aCap,
                                          double aRemaining)
{
  if (aUnit.m_share > aCap) {
    return Outcome::TooHeavy;
  }
  if (aUnit.m_share > aRemaining) {
    return Outcome::CapReached;
  }
  const auto target =
    aPicker.Pick(OriginOf(aUnit.m_bucket), aUnit.m_from, aUnit.m_reason, aUnit.m_weight);
  if (target == kNoSite) {
    return Outcome::NoCapacity;
  }
  Apply(aUnit, target);
  return Outcome::Moved;
}

void StepBuilder::Defer(const MoveUnit& aUnit, Outcome aOutcome)
{
  m_remaining[static_cast<std::size_t>(aUnit.m_reason)] += aUnit.m_share;
  m_capReached = m_capReached || aOutcome == Outcome::CapReached;
  m_noCapacity = m_noCapacity || aOutcome == Outcome::NoCapacity;
  m_tooHeavy = m_tooHeavy || aOutcome == Outcome::TooHeavy;
}

void StepBuilder::AddRequiredMoves()
{
  const auto cap = m_limits.m_plannedCap;
  const auto pacingLimit = PacingLimit(cap);
  double paced = 0;
  TargetPicker picker(m_model);
  // A step moves only a few of the units, so a heap is cheaper than sorting them all.
  auto units = RequiredUnits();
  double lightest = cap;
  for (const auto& unit : units) {
    lightest = std::min(lightest, unit.m_share);
  }
  std::make_heap(units.begin(), units.end(), IsLater);
  while (!units.empty() && lightest <= cap - m_window.Used() - m_movedShare) {
    std::pop_heap(units.begin(), units.end(), IsLater);
    const auto unit = units.back();
    units.pop_back();
    // Load at a dead or forbidden site is not served at all; only the cap limits its moves.
    const bool isPaced = unit.m_reason >= MoveReason::PendingRule;
    const auto outcome = isPaced && paced >= pacingLimit
                           ? Outcome::CapReached
                           : TryMove(unit, picker, cap, cap - m_window.Used() - m_movedShare);
    if (outcome != Outcome::Moved) {
      Defer(unit, outcome);
    } else if (isPaced) {
      paced += unit.m_share;
    }
  }
  for (const auto& unit : units) {
    Defer(unit, unit.m_share > cap ? Outcome::TooHeavy : Outcome::CapReached);
  }
}

std::vector<StepBuilder::RecoverySource> StepBuilder::RecoverySources() const
{
  std::vector<RecoverySource> sources;
  for (std::size_t i = 0; i < m_model.OriginCount(); ++i) {
    const auto origin = static_cast<OriginIndex>(i);
    std::optional<double> best;
    for (std::size_t site = 0; site < m_model.SiteCount(); ++site) {
      if (m_model.IsTarget(origin, site, MoveReason::Recovery) &&
          m_model.Fits(origin, kNoSite, site, 0)) {
        const auto score = m_model.Score(origin, site, 0);
        best = best ? std::min(*best, score) : score;
      }
    }
    for (std::size_t site = 0; best && site < m_model.SiteCount(); ++site) {
      const auto gain = m_model.Score(origin, site, 0) - *best;
      if (gain > m_limits.m_recoveryMargin && !m_model.RequiredMoveReason(origin, site)) {
        sources.push_back({ gain, origin, static_cast<SiteIndex>(site) });
      }
    }
  }
  std::sort(
    sources.begin(), sources.end(), [](const RecoverySource& aLeft, const RecoverySource& aRight) {
      return std::tie(aRight.m_gain, aLeft.m_origin, aLeft.m_from) <
             std::tie(aLeft.m_gain, aRight.m_origin, aRight.m_from);
    });
  return sources;
}

bool StepBuilder::RecoverFrom(const RecoverySource& aSource, std::vector<MoveUnit> aUnits)
{
  std::sort(aUnits.rbegin(), aUnits.rend(), IsLater);
  int failures = 0;
  const auto cap = m_limits.m_plannedCap * m_limits.m_recoveryFraction;
  const auto pacingLimit = PacingLimit(cap);
  TargetPicker picker(m_model);
  for (const auto& unit : aUnits) {
    const auto target = picker.Pick(aSource.m_origin, unit.m_from, unit.m_reason, unit.m_weight);
    if (unit.m_share > cap || target == kNoSite ||
        m_model.Score(aSource.m_origin, unit.m_from, 0) -
            m_model.Score(aSource.m_origin, target, unit.m_weight) <=
          m_limits.m_recoveryMargin) {
      // A lighter unit may still fit or gain enough.
      if (++failures == kMaxRecoveryFailures) {
        break;
      }
      continue;
    }
    const auto remaining =
      std::min(cap - m_window.UsedByRecovery(), m_limits.m_plannedCap - m_window.Used()) -
      m_movedShare;
    if (m_movedShare >= pacingLimit || unit.m_share > remaining) {
      m_remaining[static_cast<std::size_t>(unit.m_reason)] += unit.m_share;
      m_recoveryDeferred = true;
      return false;
    }
    Apply(unit, target);
  }
  return true;
}

void StepBuilder::AddRecoveryMoves()
{
  if (!m_moved.empty() || m_didSplit || m_capReached) {
    return;
  }
  const auto sources = RecoverySources();
  if (sources.empty()) {
    return;
  }
  // Units have to be small relative to the part of the cap that recovery may use.
  m_splitAbove *= m_limits.m_recoveryFraction;
  const auto indexOf = [this](OriginIndex aOrigin, SiteIndex aSite) {
    return aOrigin * m_model.SiteCount() + aSite;
  };
  constexpr auto kNoSource = static_cast<std::size_t>(-1);
  std::vector<std::size_t> positions(m_model.OriginCount() * m_model.SiteCount(), kNoSource);
  for (std::size_t i = 0; i < sources.size(); ++i) {
    positions[indexOf(sources[i].m_origin, sources[i].m_from)] = i;
  }
  std::vector<std::vector<std::uint32_t>> buckets(sources.size());
  for (std::uint32_t bucket = 0; bucket < m_table.BucketCount(); ++bucket) {
    const auto parts = m_table.IsSplit(bucket) ? kPartsPerBucket : 1;
    for (std::uint32_t part = 0; part < parts; ++part) {
      const auto position = positions[indexOf(OriginOf(bucket), m_table.SiteOf(bucket, part))];
      if (position != kNoSource &&
          (buckets[position].empty() || buckets[position].back() != bucket)) {
        buckets[position].push_back(bucket);
      }
    }
  }
  for (std::size_t i = 0; i < sources.size(); ++i) {
    std::vector<MoveUnit> units;
    for (const auto bucket : buckets[i]) {
      AddUnits(bucket, sources[i].m_from, MoveReason::Recovery, units);
    }
    if (!RecoverFrom(sources[i], std::move(units))) {
      return;
    }
  }
}

PlanState StepBuilder::State() const
{
  if (!m_moved.empty() || m_didSplit) {
    return PlanState::Step;
  }
  if (m_capReached) {
    return PlanState::CapReached;
  }
  if (m_noCapacity) {
    return PlanState::NoCapacity;
  }
  if (m_tooHeavy) {
    return PlanState::TooHeavy;
  }
  return m_recoveryDeferred ? PlanState::CapReached : PlanState::Settled;
}

void StepBuilder::Report(Plan& aPlan) const
{
  aPlan.m_state = State();
  aPlan.m_movedShare = m_movedShare;
  aPlan.m_movedByReason = m_movedByReason;
  aPlan.m_remaining = m_remaining;
}

std::vector<MoveRecord> StepBuilder::MakeMoveRecords(std::uint64_t aGeneration) const
{
  std::vector<MoveRecord> records;
  for (const bool recovery : { false, true }) {
    std::vector<MoveUnit> units;
    MoveRecord record;
    record.m_generation = aGeneration;
    record.m_recovery = recovery;
    for (const auto& unit : m_moved) {
      if ((unit.m_reason == MoveReason::Recovery) == recovery) {
        units.push_back(unit);
        record.m_share += unit.m_share;
      }
    }
    std::sort(units.begin(), units.end(), [](const MoveUnit& aLeft, const MoveUnit& aRight) {
      return std::tie(aLeft.m_bucket, aLeft.m_parts) < std::tie(aRight.m_bucket, aRight.m_parts);
    });
    for (const auto& unit : units) {
      const auto first = unit.m_bucket * kPartsPerBucket;
      if (unit.m_parts == kAllParts) {
        AppendRun(record.m_parts, first, kPartsPerBucket);
      } else {
        ForEachPart(unit.m_parts,
                    [&](std::uint32_t aPart) { AppendRun(record.m_parts, first + aPart, 1); });
      }
    }
    if (!units.empty()) {
      records.push_back(std::move(record));
    }
  }
  return records;
}

} // namespace jaylane::policy
