#include "jaylane/policy/SteeringTable.h"

#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

constexpr std::size_t kMaxSites = 0x7fff; // the high bit marks split buckets
/// Keeps the part numbers of PartRun, which count over all origins, within 32 bits.
constexpr std::size_t kMaxOrigins = 4096;

template<typename T>
bool HasDuplicate(const std::vector<T>& aValues)
{
  return std::set<T>(aValues.begin(), aValues.end()).size() != aValues.size();
}

template<typename Index, typename T, typename Key>
std::optional<Index> FindIn(const std::vector<T>& aValues, const Key& aKey)
{
  const auto found = std::find(aValues.begin(), aValues.end(), aKey);
  if (found == aValues.end()) {
    return std::nullopt;
  }
  return static_cast<Index>(found - aValues.begin());
}

} // namespace

base::Result<SteeringTable> SteeringTable::Make(std::string aService,
                                                std::vector<std::string> aOrigins,
                                                std::vector<SiteId> aSites)
{
  if (aOrigins.empty() || aOrigins.size() > kMaxOrigins || HasDuplicate(aOrigins)) {
    return base::Error{ PolicyErrc::InvalidTable,
                        "list of origins is empty, too long or has duplicates" };
  }
  if (aSites.empty() || aSites.size() > kMaxSites || HasDuplicate(aSites)) {
    return base::Error{ PolicyErrc::InvalidTable,
                        "list of sites is empty, too long or has duplicates" };
  }
  SteeringTable table;
  table.m_service = std::move(aService);
  table.m_buckets.assign(aOrigins.size() * kBucketsPerOrigin, 0);
  table.m_origins = std::move(aOrigins);
  table.m_sites = std::move(aSites);
  return table;
}

SteeringTable::BucketPart SteeringTable::BucketPartOf(std::uint32_t aBlock)
{
  const auto hash = XXH3_64bits(&aBlock, sizeof(aBlock));
  return { static_cast<std::uint16_t>(hash % kBucketsPerOrigin),
           static_cast<std::uint8_t>(hash / kBucketsPerOrigin % kPartsPerBucket) };
}

SiteIndex SteeringTable::Lookup(const BlockMatch& aMatch) const
{
  assert(aMatch.m_origin < m_origins.size());
  const auto position = BucketPartOf(aMatch.m_block);
  return SiteOf(aMatch.m_origin * kBucketsPerOrigin + position.m_bucket, position.m_part);
}

std::optional<OriginIndex> SteeringTable::FindOrigin(std::string_view aOrigin) const
{
  return FindIn<OriginIndex>(m_origins, aOrigin);
}

std::optional<SiteIndex> SteeringTable::FindSite(const SiteId& aSite) const
{
  return FindIn<SiteIndex>(m_sites, aSite);
}

SiteIndex SteeringTable::SiteOf(std::uint32_t aBucket, std::uint32_t aPart) const
{
  const auto value = m_buckets[aBucket];
  if ((value & kSplitBit) == 0) {
    return value;
  }
  return m_parts[(value & ~kSplitBit) * kPartsPerBucket + aPart];
}

void SteeringTable::Assign(std::uint32_t aBucket, SiteIndex aSite)
{
  assert(!IsSplit(aBucket) && aSite < m_sites.size());
  m_buckets[aBucket] = aSite;
}

void SteeringTable::AssignPart(std::uint32_t aBucket, std::uint32_t aPart, SiteIndex aSite)
{
  assert(IsSplit(aBucket) && aPart < kPartsPerBucket && aSite < m_sites.size());
  m_parts[(m_buckets[aBucket] & ~kSplitBit) * kPartsPerBucket + aPart] = aSite;
}

bool SteeringTable::Split(std::uint32_t aBucket)
{
  if (IsSplit(aBucket)) {
    return true;
  }
  std::uint16_t position = 0;
  if (!m_freeSplits.empty()) {
    position = m_freeSplits.back();
    m_freeSplits.pop_back();
  } else if (m_parts.size() / kPartsPerBucket < kMaxSplits) {
    position = static_cast<std::uint16_t>(m_parts.size() / kPartsPerBucket);
    m_parts.resize(m_parts.size() + kPartsPerBucket);
  } else {
    return false;
  }
  std::fill_n(m_parts.begin() + position * kPartsPerBucket, kPartsPerBucket, m_buckets[aBucket]);
  m_buckets[aBucket] = kSplitBit | position;
  return true;
}

void SteeringTable::Merge(std::uint32_t aBucket)
{
  if (!IsSplit(aBucket)) {
    return;
  }
  const std::uint16_t position = m_buckets[aBucket] & ~kSplitBit;
  const auto first = m_parts.begin() + position * kPartsPerBucket;
  const auto site = *first;
  if (std::all_of(
        first, first + kPartsPerBucket, [site](SiteIndex aSite) { return aSite == site; })) {
    m_buckets[aBucket] = site;
    m_freeSplits.push_back(position);
  }
}

SiteIndex SteeringTable::AddSite(const SiteId& aSite)
{
  if (const auto found = FindSite(aSite)) {
    return *found;
  }
  assert(m_sites.size() < kMaxSites);
  m_sites.push_back(aSite);
  return static_cast<SiteIndex>(m_sites.size() - 1);
}

OriginIndex SteeringTable::AddOrigin(const std::string& aOrigin, SiteIndex aSite)
{
  if (const auto found = FindOrigin(aOrigin)) {
    return *found;
  }
  assert(m_origins.size() < kMaxOrigins && aSite < m_sites.size());
  m_origins.push_back(aOrigin);
  m_buckets.resize(m_origins.size() * kBucketsPerOrigin, aSite);
  return static_cast<OriginIndex>(m_origins.size() - 1);
}

void SteeringTable::SetMoves(std::vector<MoveRecord> aMoves, base::WallTime aHistoryFrom)
{
  assert(std::is_sorted(
    aMoves.begin(), aMoves.end(), [](const MoveRecord& aLeft, const MoveRecord& aRight) {
      return aLeft.m_at < aRight.m_at;
    }));
  m_moves = std::move(aMoves);
  m_historyFrom = aHistoryFrom;
}

bool SteeringTable::SameAssignment(const SteeringTable& aOther) const
{
  if (m_origins != aOther.m_origins) {
    return false;
  }
  for (std::uint32_t bucket = 0; bucket < BucketCount(); ++bucket) {
    const auto parts = IsSplit(bucket) || aOther.IsSplit(bucket) ? kPartsPerBucket : 1;
    for (std::uint32_t part = 0; part < parts; ++part) {
      if (SiteAt(SiteOf(bucket, part)) != aOther.SiteAt(aOther.SiteOf(bucket, part))) {
        return false;
      }
    }
  }
  return true;
}

bool SteeringTable::operator==(const SteeringTable& aOther) const
{
  if (m_service != aOther.m_service || m_generation != aOther.m_generation ||
      m_sites != aOther.m_sites || m_moves != aOther.m_moves ||
      m_historyFrom != aOther.m_historyFrom || m_stamp != aOther.m_stamp ||
      !SameAssignment(aOther)) {
    return false;
  }
  for (std::uint32_t bucket = 0; bucket < BucketCount(); ++bucket) {
    if (IsSplit(bucket) != aOther.IsSplit(bucket)) {
      return false;
    }
  }
  return true;
}

} // namespace jaylane::policy
