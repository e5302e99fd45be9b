#pragma once

#include "jaylane/base/Error.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// Identifies one run of an entry VM's process; never reused.
using VmIncarnation = std::string;

/// @param aUpstream id of the upstream, equal on every VM.
/// @return the hash that maps the upstream's slots to share units.
std::uint64_t HashUpstream(std::string_view aUpstream);

/// Assigns the share units of a zone to incarnations of its entry VMs. Stored as the object
/// shares/<zone>. Slots of upstreams are mapped to units, see UnitOf(). Each unit has exactly one
/// owner, and so has each slot.
class ShareTable
{
public:
  static constexpr std::uint32_t kMaxUnits = 1u << 16;

  /// @param aUnits number of units, a power of two up to kMaxUnits.
  /// @param aOwner first owner of all units; not empty.
  static base::Result<ShareTable> Make(std::uint32_t aUnits, VmIncarnation aOwner);

  /// @param aJson form written by ToJson().
  /// @return the table, or InvalidShareTable.
  static base::Result<ShareTable> FromJson(const Json::Value& aJson);

  /// @return {"units","owners","runs":[[units, owner index, reclaim id]],"writer","nonce"}.
  Json::Value ToJson() const;

  std::uint32_t Units() const { return static_cast<std::uint32_t>(m_units.size()); }

  /// @param aHash HashUpstream() of the upstream.
  /// @param aSlot index of the slot at the upstream.
  /// @return the unit that the slot belongs to.
  std::uint32_t UnitOf(std::uint64_t aHash, std::uint32_t aSlot) const
  {
    return static_cast<std::uint32_t>((aHash + aSlot) & (m_units.size() - 1));
  }

  const VmIncarnation& OwnerOf(std::uint32_t aUnit) const
  {
    return m_owners[m_units[aUnit].m_owner];
  }

  /// @return id of the reclaim that assigned the unit to its owner, or 0 if the previous owner
  /// donated it. The owner of a reclaimed unit first keeps it unused for the quarantine time.
  std::uint64_t ReclaimIdOf(std::uint32_t aUnit) const { return m_units[aUnit].m_reclaimId; }

  /// @return units of an incarnation in ascending order.
  std::vector<std::uint32_t> UnitsOf(std::string_view aOwner) const;

  /// @return the incarnations that own at least one unit, sorted.
  std::vector<VmIncarnation> Owners() const;

  /// @param aReclaimId see ReclaimIdOf().
  void Assign(std::uint32_t aUnit, const VmIncarnation& aOwner, std::uint64_t aReclaimId);

  /// Doubles the number of units. Unit i and its copy i + Units() get the same owner, so
  /// no slot changes its owner.
  void Double();

  /// Records who writes the table, to recognize the own write after a lost response of the store.
  void Stamp(std::string aWriter, std::string aNonce);
  bool WrittenBy(std::string_view aWriter, std::string_view aNonce) const;

private:
  struct Unit
  {
    std::uint32_t m_owner = 0;
    std::uint64_t m_reclaimId = 0;

    bool operator==(const Unit&) const = default;
  };

  ShareTable() = default;
  std::uint32_t OwnerIndex(const VmIncarnation& aOwner);
  bool AppendRun(const Json::Value& aRun);

  std::vector<VmIncarnation> m_owners;
  std::vector<Unit> m_units;
  std::string m_writer;
  std::string m_nonce;
};

} // namespace jaylane::policy
