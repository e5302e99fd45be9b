#pragma once

#include "ShareModel.h"

namespace jaylane::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint32_t kUpstreams = 2;
inline constexpr std::uint32_t kSlots = 3;
inline constexpr int kVms = 3;
inline constexpr std::size_t kMaxUnits = 64;
inline constexpr milliseconds kTimeout{ 1000 };
/// Difference of a clock's rate from real time, in parts per million. Larger than that of real
/// clocks, so that its effect shows within a short lease; the margin is larger in proportion.
inline constexpr int kRateErrorPpm = 40'000;
inline constexpr std::uint32_t kRateMarginDivisor = 10;

struct ShareModel::Vm
{
  struct Attempt
  {
    SlotTicket m_ticket;
    bool m_dispatched = false;
    Time m_end{ 0 };
  };

  Vm(VmIncarnation aId,
     Time aLease,
     SlotPool::Options aPool,
     SlotLender::Options aLender,
     Time aListLag,
     Omit aOmit)
    : m_id(std::move(aId))
    , m_pool(m_id, aPool)
    , m_slotLender(m_id, m_pool, aLender)
    , m_borrower(m_id,
                 m_pool,
                 { aLease,
                   milliseconds{ 1 },
                   milliseconds{ 1 },
                   aLease,
                   aOmit == Omit::RateMargin ? 1u << 30 : kRateMarginDivisor })
    , m_tracker(aListLag)
  {
  }

  base::MonotonicTime Clock(Time aNow) const
  {
    return base::MonotonicTime{ m_offset + aNow + aNow * m_ratePpm / 1'000'000 };
  }

  void Apply(const ShareTable& aTable, std::uint64_t aVersion, Time aNow)
  {
    if (m_pool.ApplyTable(aTable, aVersion, Clock(aNow))) {
      m_table = aTable;
      m_tracker.ObserveTable(aTable, Clock(aNow));
    }
  }

  const VmIncarnation m_id;
  SlotPool m_pool;
  SlotLender m_slotLender;
  SlotBorrower m_borrower;
  DepartureTracker m_tracker;
  Time m_offset{ 0 };
  int m_ratePpm = 0;
  Time m_pausedUntil{ 0 };
  Time m_isolatedUntil{ 0 };
  std::optional<ShareTable> m_table;
  std::vector<VmIncarnation> m_list;
  std::optional<Donation> m_donation;
  std::vector<Attempt> m_attempts;
};

} // namespace jaylane::policy
