#pragma once

#include "CapWindow.h"
#include "LoadShares.h"
#include "PlacementModel.h"
#include "TargetPicker.h"

#include <vector>

namespace jaylane::policy {

/// Parts of one bucket at one site that move together.
struct MoveUnit
{
  std::uint32_t m_bucket = 0;
  PartMask m_parts = kAllParts;
  SiteIndex m_from = 0;
  MoveReason m_reason = MoveReason::DeadSite;
  double m_share = 0;  ///< Share of the service's load; counts toward the cap.
  double m_weight = 0; ///< Absolute load; counts toward the capacities.
};

/// Builds one step of a shift: moves buckets or parts of them in a working copy of the table,
/// within the cap on moved load and the capacities.
class StepBuilder
{
public:
  /// All references must outlive this.
  StepBuilder(SteeringTable& aTable,
              const LoadShares& aShares,
              PlacementModel& aModel,
              const CapWindow& aWindow,
              const ShiftLimits& aLimits,
              base::WallTime aNow);

  /// Moves load that has to leave its site.
  void AddRequiredMoves();

  /// Moves load back to better sites, within the part of the cap for recovery. Does nothing if the
  /// step already moves load or splits a bucket, or if required moves wait for the cap.
  void AddRecoveryMoves();

  /// Sets the state and the shares of aPlan, but neither its table nor its time.
  void Report(Plan& aPlan) const;

  /// @return records of the step's moves: one for required moves, one for recovery, each left out
  ///   if nothing moves.
  std::vector<MoveRecord> MakeMoveRecords(std::uint64_t aGeneration) const;

private:
  /// An origin's load at a site that has a better alternative.
  struct RecoverySource
  {
    double m_gain = 0; ///< Difference of the site's score to that of the best target.
    OriginIndex m_origin = 0;
    SiteIndex m_from = 0;
  };
  enum class Outcome
  {
    Moved,
    CapReached,
    NoCapacity,
    TooHeavy,
  };

  PlanState State() const;
  /// @return moved share at which this step stops paced moves, in proportion to the time since the
  ///   last step.
  double PacingLimit(double aCap) const;
  void AddUnits(std::uint32_t aBucket,
                SiteIndex aSite,
                MoveReason aReason,
                std::vector<MoveUnit>& aUnits);
  void AddPartUnits(std::uint32_t aBucket,
                    SiteIndex aSite,
                    MoveReason aReason,
                    std::vector<MoveUnit>& aUnits) const;
  MoveUnit MakeUnit(std::uint32_t aBucket,
                    PartMask aParts,
                    SiteIndex aFrom,
                    MoveReason aReason) const;
  std::vector<MoveUnit> RequiredUnits();
  /// Counts a unit that this step does not move.
  void Defer(const MoveUnit& aUnit, Outcome aOutcome);
  Outcome TryMove(const MoveUnit& aUnit, TargetPicker& aPicker, double aCap, double aRemaining);
  void Apply(const MoveUnit& aUnit, SiteIndex aTo);
  std::vector<RecoverySource> RecoverySources() const;
  /// Moves those units of aSource that gain enough by it.
  /// @return false if one of them waits for the cap.
  bool RecoverFrom(const RecoverySource& aSource, std::vector<MoveUnit> aUnits);

  SteeringTable& m_table;
  const LoadShares& m_shares;
  PlacementModel& m_model;
  const CapWindow& m_window;
  const ShiftLimits& m_limits;
  base::WallTime m_now;
  double m_splitAbove = 0; ///< Share above which a bucket is split before it moves.

  std::vector<MoveUnit> m_moved;
  std::array<double, kMoveReasonCount> m_movedByReason{};
  std::array<double, kMoveReasonCount> m_remaining{};
  double m_movedShare = 0;
  bool m_didSplit = false;
  bool m_capReached = false;
  bool m_noCapacity = false;
  bool m_tooHeavy = false;
  bool m_recoveryDeferred = false; ///< Recovery moves wait for the cap.
};

} // namespace jaylane::policy
