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
  /// Time by which the attempt must have ended; MonotonicTime::max() for an owned slot.
  base::MonotonicTime m_deadline = base::MonotonicTime::max();
};

/// An owned slot that is leased to another VM.
struct LentSlot
{
  std::uint32_t m_slot = 0;
  std::uint64_t m_lease = 0;
  base::MonotonicTime m_until;
};

/// Slots that this VM may use, per upstream: those of its share units, minus those lent or in
/// flight, plus those borrowed. Accounts for each slot by its index, so that a unit can be drained
/// before it is donated. Not thread safe.
class SlotPool
{
public:
  struct Options
  {
    /// Time for which a reclaimed unit stays unused. Must be at least the longest attempt and the
    /// longest lease, since both may outlive their VM, plus a margin for clock rates.
    std::chrono::nanoseconds m_quarantine{ std::chrono::seconds{ 60 } };
  };

  SlotPool(VmIncarnation aSelf, Options aOptions);

  /// Changes the quarantine of units reclaimed from now on.
  void SetQuarantine(std::chrono::nanoseconds aQuarantine) { m_options.m_quarantine = aQuarantine; }

  /// Adds an upstream or changes its number of slots.
  /// @param aSlots number of slots; 0 stops the use of the upstream.
  UpstreamIndex SetUpstream(const std::string& aId, std::uint32_t aSlots);

  /// Applies a table that was read from the store or received from a peer, unless it is older.
  /// @param aVersion the store's version of the table.
  /// @return false if the table was ignored.
  bool ApplyTable(const ShareTable& aTable, std::uint64_t aVersion, base::MonotonicTime aNow);

  std::uint64_t TableVersion() const { return m_version; }

  /// Stops giving out slots of the units, in preparation of a donation.
  void BeginDrain(std::span<const std::uint32_t> aUnits);

  /// Makes units usable again, except those that a donation may already have transferred. A table
  /// with another number of units cancels every drain too.
  void CancelDrain(std::span<const std::uint32_t> aUnits);

  /// @return whether the units are draining and not quarantined, and none of their slots has an
  /// attempt in flight or is lent.
  bool IsDrained(std::span<const std::uint32_t> aUnits, base::MonotonicTime aNow) const;

  /// Must be called before the conditional update that donates units is sent. From then on the
  /// units stay unused until ApplyTable() applies a version above the one that the update is
  /// conditional on: while the version is equal, the update can still take effect.
  /// @param aVersion the version that the update is conditional on.
  /// @return StaleTable, NotOwner or NotDrained, in which case the update must not be sent.
  base::Status BeginDonation(std::span<const std::uint32_t> aUnits,
                             std::uint64_t aVersion,
                             base::MonotonicTime aNow);

  /// Takes a slot for an attempt, an owned one if possible.
  /// @param aTimeout longest duration of the attempt. A borrowed slot is used only if its lease
  /// covers it.
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

  /// @return number of slots that Acquire() could give out now.
  std::uint32_t FreeSlots(UpstreamIndex aUpstream,
                          base::MonotonicTime aNow,
                          std::chrono::nanoseconds aTimeout) const;
  /// @return number of free slots of this VM's usable units.
  std::uint32_t FreeOwnedSlots(UpstreamIndex aUpstream, base::MonotonicTime aNow) const;
  /// @return number of slots of this VM's usable units, in use or not.
  std::uint32_t OwnedSlots(UpstreamIndex aUpstream, base::MonotonicTime aNow) const;
  /// @return whether this VM owns a unit that is not quarantined; slots need not belong to it.
  bool HasUsableUnits(base::MonotonicTime aNow) const;
  /// @return number of attempts in flight from this VM.
  std::uint32_t InFlight(UpstreamIndex aUpstream) const;

  /// Lends a free owned slot.
  /// @return the slot, or nothing if none is free.
  std::optional<LentSlot> Lend(UpstreamIndex aUpstream,
                               base::MonotonicTime aNow,
                               std::chrono::nanoseconds aDuration);
  /// Ends a lease early; ignored if it has already ended.
  void EndLend(UpstreamIndex aUpstream, std::uint64_t aLease);

  /// Adds a slot borrowed from another VM.
  /// @param aUntil time on this VM's clock by which attempts on the slot must have ended.
  void AddBorrowed(UpstreamIndex aUpstream, std::uint64_t aLease, base::MonotonicTime aUntil);
  /// Removes a borrowed slot.
  /// @return false if an attempt is in flight on the slot, which is then kept.
  bool RemoveBorrowed(UpstreamIndex aUpstream, std::uint64_t aLease);
  /// Removes borrowed slots whose lease has ended and that have no attempt in flight.
  void DropExpired(UpstreamIndex aUpstream, base::MonotonicTime aNow);

  /// @return the VM that owns a slot and may lend it, or nullptr before the first table.
  const VmIncarnation* OwnerOfSlot(UpstreamIndex aUpstream, std::uint32_t aSlot) const;
  /// @return the upstream's index, or nothing if it is not known.
  std::optional<UpstreamIndex> Find(const std::string& aId) const;
  const std::string& IdOf(UpstreamIndex aUpstream) const { return m_upstreams[aUpstream].m_id; }
  std::uint32_t Slots(UpstreamIndex aUpstream) const { return m_upstreams[aUpstream].m_slots; }

  /// @return memory used for one upstream in bytes, without the map from ids.
  std::size_t BytesOf(UpstreamIndex aUpstream) const;
  /// @return memory used for one unit in bytes, without the table.
  static std::size_t BytesPerUnit() { return sizeof(Unit); }

private:
  struct OwnedSlot
  {
    bool m_inFlight = false;
    std::uint64_t m_lease = 0; ///< Latest lease, or 0.
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
    std::vector<OwnedSlot> m_owned;
    std::vector<BorrowedSlot> m_borrowed;
  };
  struct Unit
  {
    bool m_owned = false; ///< Owned by this VM according to the table.
    bool m_draining = false;
    bool m_donationSent = false;         ///< A donation may have transferred the unit.
    std::uint64_t m_donationVersion = 0; ///< Table version that the donation is conditional on.
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
