#include "jaylane/policy/CatchUp.h"

#include "CapWindow.h"
#include "LoadShares.h"
#include "PlacementModel.h"
#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>

namespace jaylane::policy {

namespace {

/// Parts of one bucket that the newest table has at another site than the applied one.
struct Difference
{
  std::uint32_t m_bucket = 0;
  PartMask m_parts = 0;
  SiteIndex m_to = 0;
  bool m_isUrgent = false;
  double m_share = 0;
};

/// Adds the newest table's sites and origins to the applied one, without moving load, and
/// translates site indexes.
class TableAligner
{
public:
  TableAligner(SteeringTable& aApplied, const SteeringTable& aNewest)
    : m_applied(aApplied)
    , m_newest(aNewest)
  {
    std::map<SiteId, SiteIndex> known;
    for (std::size_t i = 0; i < aApplied.Sites().size(); ++i) {
      known.emplace(aApplied.Sites()[i], static_cast<SiteIndex>(i));
    }
    for (const auto& site : aNewest.Sites()) {
      const auto found = known.find(site);
      m_appliedIndexes.push_back(found != known.end() ? found->second : aApplied.AddSite(site));
    }
  }

  /// New origins have no traffic under the applied table, so they get their newest sites at once.
  void AddOrigins()
  {
    const auto old = m_applied.BucketCount();
    for (const auto& origin : m_newest.Origins()) {
      m_applied.AddOrigin(origin, 0);
    }
    for (auto bucket = old; bucket < m_applied.BucketCount(); ++bucket) {
      if (!m_newest.IsSplit(bucket) || !m_applied.Split(bucket)) {
        m_applied.Assign(bucket, Target(bucket, 0));
        continue;
      }
      for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
        m_applied.AssignPart(bucket, part, Target(bucket, part));
      }
    }
  }

  /// @return index in the applied table of the site that the newest table assigns.
  SiteIndex Target(std::uint32_t aBucket, std::uint32_t aPart) const
  {
    return m_appliedIndexes[m_newest.SiteOf(aBucket, aPart)];
  }

private:
  SteeringTable& m_applied;
  const SteeringTable& m_newest;
  std::vector<SiteIndex> m_appliedIndexes;
};

/// Adds the differing parts of a split bucket: one by one if measured, else together by target.
void AddPartDifferences(const SteeringTable& aApplied,
                        const TableAligner& aAligner,
                        std::uint32_t aBucket,
                        const LoadShares& aShares,
                        std::vector<Difference>& aFound)
{
  std::map<SiteIndex, PartMask> byTarget;
  for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
    const auto target = aAligner.Target(aBucket, part);
    if (aApplied.SiteOf(aBucket, part) != target) {
      byTarget[target] |= PartMask{ 1 } << part;
    }
  }
  for (const auto& [target, parts] : byTarget) {
    if (!aShares.HasMeasuredParts(aBucket)) {
      aFound.push_back({ aBucket, parts, target, false, 0 });
      continue;
    }
    for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
      const auto mask = PartMask{ 1 } << part;
      if ((parts & mask) != 0) {
        aFound.push_back({ aBucket, mask, target, false, 0 });
      }
    }
  }
}

/// Finds the buckets and parts that have to move. Splits a bucket of the applied table if the
/// newest one has it split, or if it has to move and its load alone exceeds the cap.
std::vector<Difference> FindDifferences(SteeringTable& aApplied,
                                        const SteeringTable& aNewest,
                                        const TableAligner& aAligner,
                                        const LoadShares& aShares,
                                        double aCap)
{
  std::vector<Difference> found;
  for (std::uint32_t bucket = 0; bucket < aNewest.BucketCount(); ++bucket) {
    const bool isHot = aShares.Share(bucket) > aCap && aShares.HasMeasuredParts(bucket);
    if (!aApplied.IsSplit(bucket) && !aNewest.IsSplit(bucket) &&
        (!isHot || aApplied.SiteOf(bucket) == aAligner.Target(bucket, 0))) {
      if (aApplied.SiteOf(bucket) != aAligner.Target(bucket, 0)) {
        found.push_back({ bucket, kAllParts, aAligner.Target(bucket, 0), false, 0 });
      }
      continue;
    }
    if (aApplied.Split(bucket)) {
      AddPartDifferences(aApplied, aAligner, bucket, aShares, found);
    }
  }
  return found;
}

void Apply(SteeringTable& aTable, const Difference& aDifference)
{
  for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
    if (!aTable.IsSplit(aDifference.m_bucket)) {
      aTable.Assign(aDifference.m_bucket, aDifference.m_to);
      return;
    }
    if ((aDifference.m_parts >> part & 1) != 0) {
      aTable.AssignPart(aDifference.m_bucket, part, aDifference.m_to);
    }
  }
}

void AppendRuns(std::vector<PartRun>& aRuns, const Difference& aDifference)
{
  const auto first = aDifference.m_bucket * kPartsPerBucket;
  for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
    if ((aDifference.m_parts >> part & 1) == 0) {
      continue;
    }
    if (!aRuns.empty() && aRuns.back().m_first + aRuns.back().m_count == first + part) {
      ++aRuns.back().m_count;
    } else {
      aRuns.push_back({ first + part, 1 });
    }
  }
}

/// Applies the differences that fit within the remaining cap, the most urgent first and then the
/// largest.
/// @return record of the parts that moved.
MoveRecord ApplyWithinCap(SteeringTable& aTable,
                          std::vector<Difference> aDifferences,
                          double aRemaining)
{
  std::sort(aDifferences.begin(),
            aDifferences.end(),
            [](const Difference& aLeft, const Difference& aRight) {
              return std::tie(aRight.m_isUrgent, aRight.m_share, aLeft.m_bucket, aLeft.m_parts) <
                     std::tie(aLeft.m_isUrgent, aLeft.m_share, aRight.m_bucket, aRight.m_parts);
            });
  MoveRecord move;
  std::vector<Difference> moved;
  for (const auto& difference : aDifferences) {
    if (difference.m_share <= aRemaining - move.m_share) {
      Apply(aTable, difference);
      move.m_share += difference.m_share;
      moved.push_back(difference);
    }
  }
  std::sort(moved.begin(), moved.end(), [](const Difference& aLeft, const Difference& aRight) {
    return std::tie(aLeft.m_bucket, aLeft.m_parts) < std::tie(aRight.m_bucket, aRight.m_parts);
  });
  for (const auto& difference : moved) {
    AppendRuns(move.m_parts, difference);
  }
  return move;
}

bool IsSuccessor(const SteeringTable& aApplied, const SteeringTable& aNewest)
{
  const auto& old = aApplied.Origins();
  const auto& now = aNewest.Origins();
  return aApplied.Service() == aNewest.Service() && old.size() <= now.size() &&
         std::equal(old.begin(), old.end(), now.begin());
}

} // namespace

SteeringTable MakeInitialAppliedTable(const SteeringTable& aNewest)
{
  auto table = aNewest;
  table.SetMoves({}, {});
  return table;
}

base::Result<SteeringTable> CatchUp(const SteeringTable& aApplied,
                                    const SteeringTable& aNewest,
                                    const PlanInput& aInput,
                                    base::WallTime aNow)
{
  const auto& limits = aInput.m_limits;
  if (auto status = Validate(limits); !status) {
    return status.GetError();
  }
  if (!IsSuccessor(aApplied, aNewest)) {
    return base::Error{
      PolicyErrc::InvalidTable,
      "newest table is of another service or does not extend the list of origins"
    };
  }
  if (aApplied.Generation() == aNewest.Generation()) {
    return aApplied;
  }
  const auto shares =
    LoadShares::Make(aInput.m_load, aNewest.BucketCount(), limits.m_weightFloor, 0);
  if (!shares) {
    return shares.GetError();
  }
  auto table = aApplied;
  TableAligner aligner(table, aNewest);
  aligner.AddOrigins();
  AddMissingSites(table, aInput.m_topology);
  const auto model = PlacementModel::Make(table, aInput, aNow);
  if (!model) {
    return model.GetError();
  }
  auto differences = FindDifferences(table, aNewest, aligner, *shares, limits.m_plannedCap);
  for (auto& difference : differences) {
    const auto part = static_cast<std::uint32_t>(std::countr_zero(difference.m_parts));
    const auto reason = model->RequiredMoveReason(difference.m_bucket / kBucketsPerOrigin,
                                                  table.SiteOf(difference.m_bucket, part));
    difference.m_isUrgent = reason && *reason <= MoveReason::LegalRule;
    difference.m_share = shares->Share(difference.m_bucket, difference.m_parts);
  }
  // The applied table's moves are this VM's own and took effect when they were recorded.
  CapWindow window(table, *shares, base::WallTime::min(), limits.m_window, aNow);
  if (window.IsComplete()) {
    auto move = ApplyWithinCap(table, std::move(differences), limits.m_plannedCap - window.Used());
    move.m_generation = aNewest.Generation();
    if (!move.m_parts.empty()) {
      window.Append(std::move(move));
    }
  }
  window.StoreIn(table);
  for (std::uint32_t bucket = 0; bucket < table.BucketCount(); ++bucket) {
    if (!aNewest.IsSplit(bucket)) {
      table.Merge(bucket);
    }
  }
  if (table.SameAssignment(aNewest)) {
    table.SetGeneration(aNewest.Generation());
  }
  return table;
}

} // namespace jaylane::policy
