#pragma once

#include "CapWindow.h"
#include "LoadShares.h"
#include "PlacementModel.h"
#include "TargetPicker.h"

#include <vector>

namespace jaylane::policy {

/// Parts of one bucket at one site that may move together.
struct MoveUnit
{
  std::uint32_t m_bucket = 0;
  PartMask m_parts = kAllParts;
  SiteIndex m_from = 0;
  MoveReason m_reason = MoveReason::DeadSite;
  double m_share = 0;
  double m_weight = 0;
};

/// Moves units of a working copy of the table within the cap and the capacities.
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

  /// Moves what has to leave its site.
  void MoveLeaving();

  /// Moves load to better sites, slowly; only if nothing has moved or waits for the cap.
  void MoveReturning();

  /// Writes the result into aPlan, apart from table and times.
  void Report(Plan& aPlan) const;

  /// @return the moves of this step.
  std::vector<MoveRecord> TakeMoves(std::uint64_t aGeneration) const;

private:
  struct ReturnPair
  {
    double m_gain = 0;
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
  double Pace(double aCap) const;
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
  std::vector<MoveUnit> LeavingUnits();
  void KeepForLater(const MoveUnit& aUnit, Outcome aOutcome);
  Outcome TryMove(const MoveUnit& aUnit, TargetPicker& aPicker, double aCap, double aRemaining);
  void Apply(const MoveUnit& aUnit, SiteIndex aTo);
  std::vector<ReturnPair> ReturnPairs() const;
  bool MovePair(const ReturnPair& aPair, std::vector<MoveUnit> aUnits);

  SteeringTable& m_table;
  const LoadShares& m_shares;
  PlacementModel& m_model;
  const CapWindow& m_window;
  const ShiftLimits& m_limits;
  base::WallTime m_now;
  double m_splitAbove = 0;

  std::vector<MoveUnit> m_moved;
  std::array<double, kMoveReasonCount> m_movedByReason{};
  std::array<double, kMoveReasonCount> m_remaining{};
  double m_movedShare = 0;
  bool m_didSplit = false;
  bool m_capReached = false;
  bool m_noCapacity = false;
  bool m_tooHeavy = false;
  bool m_returnWaits = false; ///< Recovery moves wait for the cap.
};

} // namespace jaylane::policy
