#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"
#include "jaylane/policy/BlockIndex.h"
#include "jaylane/policy/Topology.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// Position of a site in a table's list of sites.
using SiteIndex = std::uint16_t;

/// Buckets of each origin region.
inline constexpr std::uint32_t kBucketsPerOrigin = 4096;
/// Parts of a bucket that is split because its load alone is too large for a step.
inline constexpr std::uint32_t kPartsPerBucket = 64;
/// Splits of a table. Bounds its stored form, which must stay below the store's limit of 1 MB.
inline constexpr std::size_t kMaxSplits = 1024;

/// Consecutive parts of buckets. Part p of bucket b of origin o has the number
/// (o * kBucketsPerOrigin + b) * kPartsPerBucket + p; a whole bucket is a run of kPartsPerBucket.
struct PartRun
{
  std::uint32_t m_first = 0;
  std::uint32_t m_count = 0;

  bool operator==(const PartRun&) const = default;
};

/// What one step moved. Kept for a window, so that any VM can go on from the table alone.
struct MoveRecord
{
  base::WallTime m_at{}; ///< Whole milliseconds; never before the record in front of it.
  std::uint64_t m_generation = 0;
  bool m_recovery = false;
  double m_share = 0; ///< Share of the service's load, counted when the step was planned.
  std::vector<PartRun> m_parts;

  bool operator==(const MoveRecord&) const = default;
};

/// Who wrote a generation, to recognise an own write after a lost response.
struct WriteStamp
{
  std::string m_writer;
  std::string m_nonce;

  bool operator==(const WriteStamp&) const = default;
};

/// Assignment of a service's client blocks to sites: buckets for each origin region, each at one
/// site, or split into parts that each have a site. Positions of origins and sites never change;
/// new ones are appended.
class SteeringTable
{
public:
  /// @param aService service name.
  /// @param aOrigins origin regions; positions are OriginIndex.
  /// @param aSites sites; positions are SiteIndex.
  /// @return generation 1 with every bucket at the first site, or InvalidTable if there is no
  ///   site or origin, too many, or a duplicate.
  static base::Result<SteeringTable> Make(std::string aService,
                                          std::vector<std::string> aOrigins,
                                          std::vector<SiteId> aSites);

  /// @param aText form written by ToJson().
  /// @return the table, or InvalidTable.
  static base::Result<SteeringTable> FromJson(std::string_view aText);

  /// @return the value stored as the object table/<service>.
  std::string ToJson() const;

  /// Position of a client block within an origin.
  struct BucketPart
  {
    std::uint16_t m_bucket = 0;
    std::uint8_t m_part = 0;
  };

  /// @param aBlock key from BlockMatch.
  /// @return bucket and part that the block hashes to.
  static BucketPart BucketPartOf(std::uint32_t aBlock);

  /// Site of a client block: a hash and two array reads, one more for a split bucket.
  /// @param aMatch result of BlockIndex::Find(); the origin must be one of this table.
  SiteIndex Lookup(const BlockMatch& aMatch) const;

  const std::string& Service() const { return m_service; }
  std::uint64_t Generation() const { return m_generation; }
  const std::vector<std::string>& Origins() const { return m_origins; }
  const std::vector<SiteId>& Sites() const { return m_sites; }
  const SiteId& SiteAt(SiteIndex aSite) const { return m_sites[aSite]; }
  const std::vector<MoveRecord>& Moves() const { return m_moves; }
  const WriteStamp& Stamp() const { return m_stamp; }
  /// @return since when Moves() is complete.
  base::WallTime HistoryFrom() const { return m_historyFrom; }

  /// @return position of the origin, or nothing.
  std::optional<OriginIndex> FindOrigin(std::string_view aOrigin) const;
  /// @return position of the site, or nothing.
  std::optional<SiteIndex> FindSite(const SiteId& aSite) const;

  /// @return number of buckets over all origins.
  std::uint32_t BucketCount() const { return static_cast<std::uint32_t>(m_buckets.size()); }
  /// @param aBucket origin * kBucketsPerOrigin + bucket.
  /// @return number of split buckets.
  std::size_t SplitCount() const { return m_parts.size() / kPartsPerBucket - m_freeSplits.size(); }
  bool IsSplit(std::uint32_t aBucket) const { return (m_buckets[aBucket] & kSplitBit) != 0; }
  /// @return site of a part; for a bucket that is not split, of the whole bucket.
  SiteIndex SiteOf(std::uint32_t aBucket, std::uint32_t aPart = 0) const;

  /// Sets the site of a whole bucket; the bucket must not be split.
  void Assign(std::uint32_t aBucket, SiteIndex aSite);
  /// Sets the site of one part; the bucket must be split.
  void AssignPart(std::uint32_t aBucket, std::uint32_t aPart, SiteIndex aSite);
  /// Represents a bucket by its parts, without moving any.
  /// @return false if the table cannot hold another split.
  bool Split(std::uint32_t aBucket);
  /// Represents a bucket whole again if all its parts have one site.
  void Merge(std::uint32_t aBucket);
  /// @return the site's position, after adding it if it is not listed.
  SiteIndex AddSite(const SiteId& aSite);
  /// @return the origin's position, after adding it, with its buckets at aSite, if not listed.
  OriginIndex AddOrigin(const std::string& aOrigin, SiteIndex aSite);
  void SetGeneration(std::uint64_t aGeneration) { m_generation = aGeneration; }
  void SetStamp(WriteStamp aStamp) { m_stamp = std::move(aStamp); }
  void SetMoves(std::vector<MoveRecord> aMoves, base::WallTime aHistoryFrom);

  /// @return whether both steer every block to the same site and list the same origins.
  bool SameAssignment(const SteeringTable& aOther) const;

  /// Compares the contents, whatever the internal order of split buckets.
  bool operator==(const SteeringTable& aOther) const;

private:
  friend class SteeringTableCodec;
  static constexpr std::uint16_t kSplitBit = 0x8000;

  SteeringTable() = default;

  std::string m_service;
  std::uint64_t m_generation = 1;
  std::vector<std::string> m_origins;
  std::vector<SiteId> m_sites;
  std::vector<std::uint16_t> m_buckets;    ///< Site, or kSplitBit and a position in m_splits.
  std::vector<SiteIndex> m_parts;          ///< kPartsPerBucket sites for each split.
  std::vector<std::uint16_t> m_freeSplits; ///< Positions in m_parts that Merge() left unused.
  std::vector<MoveRecord> m_moves;
  base::WallTime m_historyFrom{};
  WriteStamp m_stamp;
};

} // namespace jaylane::policy
