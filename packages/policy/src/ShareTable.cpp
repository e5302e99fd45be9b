#include "jaylane/policy/ShareTable.h"

#include "jaylane/policy/SlotError.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <set>
#include <utility>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

base::Error Invalid(const char* aWhat)
{
  return { make_error_code(SlotErrc::InvalidShareTable), aWhat };
}

bool IsUnitCount(std::uint64_t aUnits)
{
  return std::has_single_bit(aUnits) && aUnits <= ShareTable::kMaxUnits;
}

} // namespace

std::uint64_t HashUpstream(std::string_view aUpstream)
{
  return XXH3_64bits(aUpstream.data(), aUpstream.size());
}

base::Result<ShareTable> ShareTable::Make(std::uint32_t aUnits, VmIncarnation aOwner)
{
  if (!IsUnitCount(aUnits)) {
    return Invalid("the number of units is not a power of two in range");
  }
  if (aOwner.empty()) {
    return Invalid("the owner is empty");
  }
  ShareTable table;
  table.m_owners.push_back(std::move(aOwner));
  table.m_units.resize(aUnits);
  return table;
}

bool ShareTable::AppendRun(const Json::Value& aRun)
{
  if (!aRun.isArray() || aRun.size() != 3 || !aRun[0].isUInt() || !aRun[1].isUInt() ||
      !aRun[2].isUInt64()) {
    return false;
  }
  const std::uint64_t count = aRun[0].asUInt();
  if (count == 0 || count + m_units.size() > kMaxUnits || aRun[1].asUInt() >= m_owners.size()) {
    return false;
  }
  m_units.insert(m_units.end(), count, Unit{ aRun[1].asUInt(), aRun[2].asUInt64() });
  return true;
}

base::Result<ShareTable> ShareTable::FromJson(const Json::Value& aJson)
{
  if (!aJson.isObject() || !aJson["units"].isUInt() || !aJson["owners"].isArray() ||
      !aJson["runs"].isArray() || !aJson["writer"].isString() || !aJson["nonce"].isString()) {
    return Invalid("a member is missing or of the wrong type");
  }
  ShareTable table;
  std::set<VmIncarnation> seen;
  for (const Json::Value& owner : aJson["owners"]) {
    if (!owner.isString() || owner.asString().empty() || !seen.insert(owner.asString()).second) {
      return Invalid("an owner is empty, repeated or not a string");
    }
    table.m_owners.push_back(owner.asString());
  }
  for (const Json::Value& run : aJson["runs"]) {
    if (!table.AppendRun(run)) {
      return Invalid("malformed run");
    }
  }
  if (!IsUnitCount(table.m_units.size()) || table.m_units.size() != aJson["units"].asUInt()) {
    return Invalid("the runs do not add up to the number of units");
  }
  table.Stamp(aJson["writer"].asString(), aJson["nonce"].asString());
  return table;
}

Json::Value ShareTable::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["units"] = Units();
  json["owners"] = Json::arrayValue;
  const std::vector<VmIncarnation> owners = Owners();
  for (const VmIncarnation& owner : owners) {
    json["owners"].append(owner);
  }
  Json::Value& runs = json["runs"] = Json::arrayValue;
  for (std::size_t first = 0; first < m_units.size();) {
    const auto last = std::find_if(m_units.begin() + static_cast<std::ptrdiff_t>(first),
                                   m_units.end(),
                                   [&](const Unit& aUnit) { return aUnit != m_units[first]; });
    const auto end = static_cast<std::size_t>(last - m_units.begin());
    const auto owner = std::lower_bound(owners.begin(), owners.end(), OwnerOf(first));
    Json::Value run(Json::arrayValue);
    run.append(Json::UInt(end - first));
    run.append(Json::UInt(owner - owners.begin()));
    run.append(Json::UInt64(m_units[first].m_reclaimId));
    runs.append(std::move(run));
    first = end;
  }
  json["writer"] = m_writer;
  json["nonce"] = m_nonce;
  return json;
}

std::vector<std::uint32_t> ShareTable::UnitsOf(std::string_view aOwner) const
{
  std::vector<std::uint32_t> units;
  const auto owner = std::find(m_owners.begin(), m_owners.end(), aOwner);
  const auto index = static_cast<std::uint32_t>(owner - m_owners.begin());
  for (std::uint32_t unit = 0; unit < Units(); ++unit) {
    if (m_units[unit].m_owner == index) {
      units.push_back(unit);
    }
  }
  return units;
}

std::vector<VmIncarnation> ShareTable::Owners() const
{
  std::vector<bool> used(m_owners.size());
  for (const Unit& unit : m_units) {
    used[unit.m_owner] = true;
  }
  std::vector<VmIncarnation> owners;
  for (std::size_t i = 0; i < used.size(); ++i) {
    if (used[i]) {
      owners.push_back(m_owners[i]);
    }
  }
  std::sort(owners.begin(), owners.end());
  return owners;
}

std::uint32_t ShareTable::OwnerIndex(const VmIncarnation& aOwner)
{
  const auto found = std::find(m_owners.begin(), m_owners.end(), aOwner);
  const auto index = static_cast<std::uint32_t>(found - m_owners.begin());
  if (found == m_owners.end()) {
    m_owners.push_back(aOwner);
  }
  return index;
}

void ShareTable::Assign(std::uint32_t aUnit, const VmIncarnation& aOwner, std::uint64_t aReclaimId)
{
  assert(aUnit < Units() && !aOwner.empty());
  m_units[aUnit] = Unit{ OwnerIndex(aOwner), aReclaimId };
}

void ShareTable::Double()
{
  assert(Units() < kMaxUnits);
  m_units.reserve(m_units.size() * 2);
  m_units.insert(m_units.end(), m_units.begin(), m_units.end());
}

void ShareTable::Stamp(std::string aWriter, std::string aNonce)
{
  m_writer = std::move(aWriter);
  m_nonce = std::move(aNonce);
}

bool ShareTable::WrittenBy(std::string_view aWriter, std::string_view aNonce) const
{
  return m_writer == aWriter && m_nonce == aNonce;
}

} // namespace jaylane::policy
