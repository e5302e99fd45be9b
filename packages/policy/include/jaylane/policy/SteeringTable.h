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

/// Index of a site in a table's list of sites.
using SiteIndex = std::uint16_t;

/// Number of buckets of each origin region.
inline constexpr std::uint32_t kBucketsPerOrigin = 4096;
/// Number of parts of a split bucket. A bucket is split if its load is too large for one step.
inline constexpr std::uint32_t kPartsPerBucket = 64;
/// Largest number of split buckets. Keeps the stored table below the store's limit of 1 MB.
inline constexpr std::size_t kMaxSplits = 1024;

/// Range of consecutive parts. Part p of bucket b of origin o has the number
/// (o * kBucketsPerOrigin + b) * kPartsPerBucket + p; a whole bucket is a run of kPartsPerBucket.
struct PartRun
{
  std::uint32_t m_first = 0;
  std::uint32_t m_count = 0;

  bool operator==(const PartRun&) const = default;
};

/// Load that one step moved. Kept in the table for the length of the window, so that any VM can
/// plan the next step from the table alone.
struct MoveRecord
{
  base::WallTime m_at{}; ///< Whole milliseconds; not before that of the previous record.
  std::uint64_t m_generation = 0;
  bool m_recovery = false;
  double m_share = 0; ///< Share of the service's load when the step was planned.
  std::vector<PartRun> m_parts;

  bool operator==(const MoveRecord&) const = default;
};

/// Identifies the write of a generation, so that the writer recognizes it after a lost response.
struct WriteStamp
{
  std::string m_writer;
  std::string m_nonce;

  bool operator==(const WriteStamp&) const = default;
};

/// Assignment of a service's client blocks to sites. Blocks are hashed to the buckets of their
/// origin region. A bucket has one site, or is split into parts that each have a site. Indexes of
/// origins and sites never change; new ones are appended.
class SteeringTable
{
public:
  /// @param aService service name.
  /// @param aOrigins origin regions, in the order of OriginIndex.
  /// @param aSites sites, in the order of SiteIndex.
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

  /// Bucket of an origin and part of the bucket that a client block belongs to.
  struct BucketPart
  {
    std::uint16_t m_bucket = 0;
    std::uint8_t m_part = 0;
  };

  /// @param aBlock key from BlockMatch.
  /// @return bucket and part that the block hashes to.
  static BucketPart BucketPartOf(std::uint32_t aBlock);

  /// Finds the site of a client block with a hash and two array reads, one more if its bucket is
  /// split.
  /// @param aMatch result of BlockIndex::Find(); the origin must be one of this table.
  SiteIndex Lookup(const BlockMatch& aMatch) const;

  const std::string& Service() const { return m_service; }
  std::uint64_t Generation() const { return m_generation; }
  const std::vector<std::string>& Origins() const { return m_origins; }
  const std::vector<SiteId>& Sites() const { return m_sites; }
  const SiteId& SiteAt(SiteIndex aSite) const { return m_sites[aSite]; }
  const std::vector<MoveRecord>& Moves() const { return m_moves; }
  const WriteStamp& Stamp() const { return m_stamp; }
  /// @return time since which Moves() is complete.
  base::WallTime HistoryFrom() const { return m_historyFrom; }

  /// @return index of the origin, or nothing.
  std::optional<OriginIndex> FindOrigin(std::string_view aOrigin) const;
  /// @return index of the site, or nothing.
  std::optional<SiteIndex> FindSite(const SiteId& aSite) const;

  /// @return number of buckets over all origins.
  std::uint32_t BucketCount() const { return static_cast<std::uint32_t>(m_buckets.size()); }
  /// @return number of split buckets.
  std::size_t SplitCount() const { return m_parts.size() / kPartsPerBucket - m_freeSplits.size(); }
  /// @param aBucket origin * kBucketsPerOrigin + bucket.
  bool IsSplit(std::uint32_t aBucket) const { return (m_buckets[aBucket] & kSplitBit) != 0; }
  /// @return site of a part, or of the whole bucket if it is not split.
  SiteIndex SiteOf(std::uint32_t aBucket, std::uint32_t aPart = 0) const;

  /// Sets the site of a whole bucket; the bucket must not be split.
  void Assign(std::uint32_t aBucket, SiteIndex aSite);
  /// Sets the site of one part; the bucket must be split.
  void AssignPart(std::uint32_t aBucket, std::uint32_t aPart, SiteIndex aSite);
  /// Splits a bucket into parts that keep its site.
  /// @return false if the table has kMaxSplits split buckets already.
  bool Split(std::uint32_t aBucket);
  /// Merges the parts of a split bucket if all have the same site; otherwise does nothing.
  void Merge(std::uint32_t aBucket);
  /// Adds the site unless it is listed.
  /// @return the site's index.
  SiteIndex AddSite(const SiteId& aSite);
  /// Adds the origin, with all its buckets at aSite, unless it is listed.
  /// @return the origin's index.
  OriginIndex AddOrigin(const std::string& aOrigin, SiteIndex aSite);
  void SetGeneration(std::uint64_t aGeneration) { m_generation = aGeneration; }
  void SetStamp(WriteStamp aStamp) { m_stamp = std::move(aStamp); }
  void SetMoves(std::vector<MoveRecord> aMoves, base::WallTime aHistoryFrom);

  /// @return whether both tables list the same origins and assign each block to the same site.
  bool SameAssignment(const SteeringTable& aOther) const;

  /// Compares the contents, regardless of the internal order of split buckets.
  bool operator==(const SteeringTable& aOther) const;

private:
  friend class SteeringTableCodec;
  static constexpr std::uint16_t kSplitBit = 0x8000;

  SteeringTable() = default;

  std::string m_service;
  std::uint64_t m_generation = 1;
  std::vector<std::string> m_origins;
  std::vector<SiteId> m_sites;
  /// Site, or kSplitBit and the number of a split in m_parts.
  std::vector<std::uint16_t> m_buckets;
  /// kPartsPerBucket sites for each split.
  std::vector<SiteIndex> m_parts;
  /// Numbers of splits in m_parts that Merge() left unused.
  std::vector<std::uint16_t> m_freeSplits;
  std::vector<MoveRecord> m_moves;
  base::WallTime m_historyFrom{};
  WriteStamp m_stamp;
};

} // namespace jaylane::policy
