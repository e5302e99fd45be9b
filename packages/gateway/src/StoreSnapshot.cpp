#include "StoreSnapshot.h"

#include "jaylane/base/JsonElements.h"
#include "jaylane/base/JsonText.h"
#include "jaylane/gateway/GatewayError.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jaylane::gateway {

namespace {

/// Removals that are kept for peers. Upstreams leave far less often than this in the time that a
/// peer may be behind.
constexpr std::size_t kMaxRemovals = 4096;

base::Error InvalidSnapshot(const char* aReason)
{
  return { make_error_code(GatewayErrc::InvalidStoreResponse), aReason };
}

} // namespace

std::vector<StoredObject> StoreSnapshot::Replace(const std::vector<StoredObject>& aObjects,
                                                 policy::StoreRevision aRevision)
{
  const bool isFirst = m_revision == policy::StoreRevision{};
  const bool isOfOtherEra = aRevision.Era() != m_revision.Era();
  if (isFirst || isOfOtherEra) {
    m_changesKnownFrom = aRevision;
  }
  std::set<std::string_view> names;
  for (const StoredObject& object : aObjects) {
    names.insert(object.m_name);
  }
  std::vector<StoredObject> removals;
  AppendRemovals(names, aRevision, removals);
  if (!isFirst && isOfOtherEra) {
    m_removals.clear();
    m_newestChange = aRevision;
  }
  for (const std::vector<StoredObject>* changes : { &std::as_const(removals), &aObjects }) {
    for (const StoredObject& change : *changes) {
      ApplyChange(change);
    }
  }
  SetRevision(aRevision);
  return removals;
}

void StoreSnapshot::AppendRemovals(const std::set<std::string_view>& aNames,
                                   policy::StoreRevision aRevision,
                                   std::vector<StoredObject>& aChanges) const
{
  // A list does not say when an object that it lacks was removed. The list's revision is the latest
  // possible one.
  for (const auto& [name, object] : m_objects) {
    if (!aNames.contains(name)) {
      aChanges.push_back({ name, aRevision, true, {} });
    }
  }
}

std::vector<StoredObject> StoreSnapshot::Apply(std::vector<StoredObject> aChanges,
                                               policy::StoreRevision aRevision)
{
  std::vector<StoredObject> applied;
  for (StoredObject& change : aChanges) {
    if (!IsKnown(change)) {
      ApplyChange(change);
      applied.push_back(std::move(change));
    }
  }
  SetRevision(aRevision);
  return applied;
}

bool StoreSnapshot::IsKnown(const StoredObject& aChange) const
{
  const auto present = m_objects.find(aChange.m_name);
  return !aChange.m_deleted && present != m_objects.end() &&
         present->second.m_revision >= aChange.m_revision;
}

void StoreSnapshot::SetRevision(policy::StoreRevision aRevision)
{
  m_revision = std::max(m_revision, aRevision);
  if (m_removals.size() > kMaxRemovals) {
    m_removals.clear();
    m_changesKnownFrom = m_revision;
  }
}

void StoreSnapshot::ApplyChange(const StoredObject& aChange)
{
  m_newestChange = std::max(m_newestChange, aChange.m_revision);
  if (aChange.m_deleted) {
    m_objects.erase(aChange.m_name);
    m_removals[aChange.m_name] = aChange.m_revision;
  } else {
    m_removals.erase(aChange.m_name);
    m_objects[aChange.m_name] = aChange;
  }
}

std::vector<StoredObject> StoreSnapshot::ChangesSince(policy::StoreRevision aRevision) const
{
  std::vector<StoredObject> changes;
  for (const auto& [name, object] : m_objects) {
    if (object.m_revision > aRevision) {
      changes.push_back(object);
    }
  }
  for (const auto& [name, revision] : m_removals) {
    if (revision > aRevision) {
      changes.push_back({ name, revision, true, {} });
    }
  }
  return changes;
}

std::vector<StoredObject> StoreSnapshot::Objects() const
{
  std::vector<StoredObject> objects;
  objects.reserve(m_objects.size());
  for (const auto& [name, object] : m_objects) {
    objects.push_back(object);
  }
  return objects;
}

policy::StoreRevision StoreSnapshot::EarliestEquivalent(policy::StoreRevision aSince) const
{
  // Not 0, by which peers ask for all objects.
  policy::StoreRevision earliest =
    HasChangesSince(aSince) ? m_changesKnownFrom : policy::StoreRevision{ 1, aSince.Era() };
  const auto include = [&](policy::StoreRevision aRevision) {
    if (aRevision <= aSince) {
      earliest = std::max(earliest, aRevision);
    }
  };
  for (const auto& [name, object] : m_objects) {
    include(object.m_revision);
  }
  for (const auto& [name, revision] : m_removals) {
    include(revision);
  }
  return earliest;
}

StoreChanges StoreSnapshot::MakeChanges(policy::StoreRevision aSince) const
{
  StoreChanges changes{ aSince, m_revision, ChangesSince(aSince), std::nullopt };
  if (!HasChangesSince(aSince)) {
    changes.m_allNames.emplace();
    for (const auto& [name, object] : m_objects) {
      changes.m_allNames->push_back(name);
    }
  }
  return changes;
}

bool StoreSnapshot::HasNews(const StoreChanges& aChanges) const
{
  const bool hasNewer =
    std::ranges::any_of(aChanges.m_objects, [this](const StoredObject& aObject) {
      const auto known = m_objects.find(aObject.m_name);
      return known == m_objects.end() ? !aObject.m_deleted
                                      : aObject.m_revision > known->second.m_revision;
    });
  if (hasNewer || !aChanges.m_allNames) {
    return hasNewer;
  }
  const std::set<std::string_view> names(aChanges.m_allNames->begin(), aChanges.m_allNames->end());
  return std::ranges::any_of(m_objects,
                             [&](const auto& aEntry) { return !names.contains(aEntry.first); });
}

std::optional<std::vector<StoredObject>> StoreSnapshot::ApplyPeerChanges(
  const StoreChanges& aChanges)
{
  if (aChanges.m_revision <= m_revision || aChanges.m_since > m_revision ||
      aChanges.m_revision.Era() != m_revision.Era()) {
    return std::nullopt;
  }
  std::vector<StoredObject> changes = aChanges.m_objects;
  if (aChanges.m_allNames) {
    const std::set<std::string_view> names(aChanges.m_allNames->begin(),
                                           aChanges.m_allNames->end());
    AppendRemovals(names, aChanges.m_revision, changes);
  }
  return Apply(std::move(changes), aChanges.m_revision);
}

namespace {

Json::Value ToJsonArray(const std::vector<StoredObject>& aObjects)
{
  Json::Value array(Json::arrayValue);
  for (const StoredObject& object : aObjects) {
    Json::Value entry(Json::objectValue);
    entry["name"] = object.m_name;
    entry["revision"] = Json::UInt64{ object.m_revision.Number() };
    if (object.m_deleted) {
      entry["removed"] = true;
    } else {
      entry["value"] = *object.m_value;
    }
    array.append(std::move(entry));
  }
  return array;
}

/// @param aTexts JSON texts of the objects. Each value is parsed on its own, as it was when it came
///   from the store, so that one which cannot be read costs no other.
/// @param aEra era of the snapshot.
base::Result<std::vector<StoredObject>> ObjectsFrom(const std::vector<std::string_view>& aTexts,
                                                    std::uint64_t aEra)
{
  std::vector<StoredObject> objects;
  for (const std::string_view text : aTexts) {
    const base::JsonMembers members(text);
    const auto name = base::ParseJson(members.Text("name"));
    const auto revision = base::ParseJson(members.Text("revision"));
    if (!name || !name->isString() || !revision || !revision->isUInt64()) {
      return InvalidSnapshot("peer snapshot: object without name or revision");
    }
    StoredObject object;
    object.m_name = name->asString();
    object.m_revision = { revision->asUInt64(), aEra };
    object.m_deleted = members.Text("removed") == "true";
    if (auto value = base::ParseJson(members.Text("value"))) {
      object.m_value = std::move(*value);
    }
    objects.push_back(std::move(object));
  }
  return objects;
}

/// @return the text's objects, and what else it has.
base::Result<base::JsonElements> ParseObjects(std::string_view aText)
{
  auto parsed = base::ParseJsonElements(aText, "objects");
  if (parsed && !parsed->m_object["revision"].isUInt64()) {
    return InvalidSnapshot("peer snapshot: revision is missing");
  }
  return parsed;
}

/// Adds the revision of a snapshot, and the era that all of its revisions have.
void AddRevision(Json::Value& aJson, policy::StoreRevision aRevision)
{
  aJson["revision"] = Json::UInt64{ aRevision.Number() };
  if (aRevision.Era() != policy::StoreRevision::kImpliedEra) {
    aJson["era"] = Json::UInt64{ aRevision.Era() };
  }
}

/// @param aJson output of AddRevision().
policy::StoreRevision RevisionFrom(const Json::Value& aJson)
{
  const Json::Value& era = aJson["era"];
  return { aJson["revision"].asUInt64(),
           era.isUInt64() ? era.asUInt64() : policy::StoreRevision::kImpliedEra };
}

} // namespace

std::string StoreSnapshot::ToJson() const
{
  Json::Value json(Json::objectValue);
  AddRevision(json, m_revision);
  json["objects"] = ToJsonArray(Objects());
  return base::WriteJson(json);
}

base::Result<StoreSnapshot> StoreSnapshot::FromJson(std::string_view aText)
{
  const auto parsed = ParseObjects(aText);
  if (!parsed) {
    return parsed.GetError();
  }
  const policy::StoreRevision revision = RevisionFrom(parsed->m_object);
  const auto objects = ObjectsFrom(parsed->m_elements, revision.Era());
  if (!objects) {
    return objects.GetError();
  }
  StoreSnapshot snapshot;
  snapshot.Replace(*objects, revision);
  return snapshot;
}

std::string StoreChanges::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["since"] = Json::UInt64{ m_since.Number() };
  AddRevision(json, m_revision);
  json["objects"] = ToJsonArray(m_objects);
  if (m_allNames) {
    json["names"] = Json::Value(Json::arrayValue);
    for (const std::string& name : *m_allNames) {
      json["names"].append(name);
    }
  }
  return base::WriteJson(json);
}

base::Result<StoreChanges> StoreChanges::FromJson(std::string_view aText)
{
  const auto parsed = ParseObjects(aText);
  if (!parsed) {
    return parsed.GetError();
  }
  const Json::Value& json = parsed->m_object;
  if (!json["since"].isUInt64()) {
    return InvalidSnapshot("peer changes: since is missing");
  }
  const policy::StoreRevision revision = RevisionFrom(json);
  auto objects = ObjectsFrom(parsed->m_elements, revision.Era());
  if (!objects) {
    return objects.GetError();
  }
  StoreChanges changes{
    { json["since"].asUInt64(), revision.Era() }, revision, std::move(*objects), std::nullopt
  };
  const Json::Value& names = json["names"];
  if (names.isArray()) {
    changes.m_allNames.emplace();
    for (const Json::Value& name : names) {
      if (!name.isString()) {
        return InvalidSnapshot("peer changes: name of another type");
      }
      changes.m_allNames->push_back(name.asString());
    }
  }
  return changes;
}

} // namespace jaylane::gateway
