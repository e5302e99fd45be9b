#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/ShareTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jaylane::policy {

/// Index of an upstream within one SlotPool.
using UpstreamIndex = std::uint32_t;

/// Permission to run one attempt.
struct SlotTicket
{
  UpstreamIndex m_upstream = 0;
  std::uint32_t m_slot = 0;
  /// Lease of a borrowed slot, 0 for an owned one.
  std::uint64_t m_lease = 0;
  /// The attempt must have ended by then; MonotonicTime::max() for an owned slot.
  base::MonotonicTime m_deadline = base::MonotonicTime::max();
};

/// A slot in use by another VM.
struct LentSlot
{
  std::uint32_t m_slot = 0;
  std::uint64_t m_lease = 0;
  base::MonotonicTime m_until;
};

/// What this VM may use now, per upstream: slots of its units, minus those lent or in flight,
/// plus those borrowed. Accounts for each slot by its index, so that a unit can be drained.
/// Not thread safe.
class SlotPool
{
public:
  struct Options
  {
    /// Time for which a reclaimed unit stays unused. Not less than the longest attempt and
    /// the longest lease, as both may outlive their VM, plus a margin for the clock rate.
    std::chrono::nanoseconds m_quarantine{ std::chrono::seconds{ 60 } };
  };

  SlotPool(VmIncarnation aSelf, Options aOptions);

  /// Changes the quarantine of units reclaimed from now on.
  void SetQuarantine(std::chrono::nanoseconds aQuarantine) { m_options.m_quarantine = aQuarantine; }

  /// Adds an upstream or changes its number of slots.
  /// @param aSlots slots it has; 0 stops its use.
  UpstreamIndex SetUpstream(const std::string& aId, std::uint32_t aSlots);

  /// Takes a table read from the store or received from a peer; older ones are ignored.
  /// @param aVersion the store's version of the object.
  /// @return false if the table was ignored.
  bool ApplyTable(const ShareTable& aTable, std::uint64_t aVersion, base::MonotonicTime aNow);

  std::uint64_t TableVersion() const { return m_version; }

  /// Stops the use of units before a donation.
  void BeginDrain(std::span<const std::uint32_t> aUnits);

  /// Takes units back into use, except those that a write may already have given away. A table with
  /// another number of units cancels every drain too.
  void CancelDrain(std::span<const std::uint32_t> aUnits);

  /// @return whether the units are drained, not quarantined, and no own attempt or lease
  /// runs on their slots.
  bool IsDrained(std::span<const std::uint32_t> aUnits, base::MonotonicTime aNow) const;

  /// Must be called before the conditional update that donates units is sent. From then on the
  /// units are not this VM's until ApplyTable() brings a version above the update's condition:
  /// with an equal one the update can still take effect.
  /// @param aVersion the version that the update is conditional on.
  /// @return StaleTable, NotOwner or NotDrained, in which case nothing may be sent.
  base::Status BeginDonation(std::span<const std::uint32_t> aUnits,
                             std::uint64_t aVersion,
                             base::MonotonicTime aNow);

  /// @param aTimeout longest duration of the attempt. A borrowed slot is used only if its
  /// lease covers it.
  /// @return a slot for one attempt, or nothing if all are in use.
  std::optional<SlotTicket> Acquire(UpstreamIndex aUpstream,
                                    base::MonotonicTime aNow,
                                    std::chrono::nanoseconds aTimeout);

  /// To be called right before dispatch: the process may have been stopped since Acquire().
  /// @return whether the attempt may still be sent; if not, Release() the ticket.
  bool MayDispatch(const SlotTicket& aTicket,
                   base::MonotonicTime aNow,
                   std::chrono::nanoseconds aTimeout) const;

  /// Ends an attempt.
  void Release(const SlotTicket& aTicket);

  /// @return slots that Acquire() could give out now.
  std::uint32_t Free(UpstreamIndex aUpstream,
                     base::MonotonicTime aNow,
                     std::chrono::nanoseconds aTimeout) const;
  std::uint32_t OwnedFree(UpstreamIndex aUpstream, base::MonotonicTime aNow) const;
  /// @return slots of this VM's usable units, whether in use or not.
  std::uint32_t Owned(UpstreamIndex aUpstream, base::MonotonicTime aNow) const;
  std::uint32_t InFlight(UpstreamIndex aUpstream) const;

  /// @return a free owned slot, now lent, or nothing.
  std::optional<LentSlot> Lend(UpstreamIndex aUpstream,
                               base::MonotonicTime aNow,
                               std::chrono::nanoseconds aDuration);
  /// Ends a lease early; ignored if it has already ended.
  void EndLend(UpstreamIndex aUpstream, std::uint64_t aLease);

  /// @param aUntil end of use on this VM's clock.
  void AddBorrowed(UpstreamIndex aUpstream, std::uint64_t aLease, base::MonotonicTime aUntil);
  /// @return false if an attempt runs on the slot, which then stays.
  bool RemoveBorrowed(UpstreamIndex aUpstream, std::uint64_t aLease);
  /// Forgets borrowed slots whose lease has ended and whose attempts have ended.
  void DropExpired(UpstreamIndex aUpstream, base::MonotonicTime aNow);

  /// @return the owner of a slot, who may lend it; nothing before the first table.
  const VmIncarnation* OwnerOfSlot(UpstreamIndex aUpstream, std::uint32_t aSlot) const;
  /// @return the upstream's index, or nothing if it is not known.
  std::optional<UpstreamIndex> Find(const std::string& aId) const;
  const std::string& IdOf(UpstreamIndex aUpstream) const { return m_upstreams[aUpstream].m_id; }
  std::uint32_t Slots(UpstreamIndex aUpstream) const { return m_upstreams[aUpstream].m_slots; }

  /// @return bytes held for one upstream, without the lookup by its id.
  std::size_t BytesOf(UpstreamIndex aUpstream) const;
  /// @return bytes held for one unit, without the table.
  static std::size_t BytesPerUnit() { return sizeof(Unit); }

private:
  struct OwnSlot
  {
    bool m_inFlight = false;
    std::uint64_t m_lease = 0;
    base::MonotonicTime m_lentUntil = base::MonotonicTime::min();
  };
  struct BorrowedSlot
  {
    std::uint64_t m_lease = 0;
    base::MonotonicTime m_until;
    bool m_inFlight = false;
  };
  struct Upstream
  {
    std::string m_id;
    std::uint64_t m_hash = 0;
    std::uint32_t m_slots = 0;
    std::vector<OwnSlot> m_own;
    std::vector<BorrowedSlot> m_borrowed;
  };
  struct Unit
  {
    bool m_mine = false;
    bool m_draining = false;
    bool m_written = false;
    std::uint64_t m_writeVersion = 0;
    std::uint64_t m_reclaimId = 0;
    base::MonotonicTime m_quarantinedUntil = base::MonotonicTime::min();
  };

  void UpdateUnit(Unit& aUnit, std::uint32_t aIndex, base::MonotonicTime aNow);
  void ResizeUnits(std::uint32_t aUnits);
  bool IsUsable(const Upstream& aUpstream, std::uint32_t aSlot, base::MonotonicTime aNow) const;
  bool IsFree(const Upstream& aUpstream, std::uint32_t aSlot, base::MonotonicTime aNow) const;
  bool HasBusySlot(const Upstream& aUpstream,
                   const std::vector<bool>& aUnits,
                   base::MonotonicTime aNow) const;

  const VmIncarnation m_self;
  Options m_options;
  std::optional<ShareTable> m_table;
  std::uint64_t m_version = 0;
  std::vector<Unit> m_units;
  std::map<std::string, UpstreamIndex> m_index;
  std::vector<Upstream> m_upstreams;
  std::uint64_t m_nextLease = 1;
};

} // namespace jaylane::policy
