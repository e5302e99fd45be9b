#include "StoreSnapshot.h"

#include "jaylane/base/JsonText.h"
#include "jaylane/gateway/GatewayError.h"

#include <algorithm>

namespace jaylane::gateway {

namespace {

base::Error InvalidSnapshot(const char* aReason)
{
  return { make_error_code(GatewayErrc::InvalidStoreResponse), aReason };
}

} // namespace

void StoreSnapshot::Replace(const std::vector<StoredObject>& aObjects, std::uint64_t aRevision)
{
  m_objects.clear();
  Apply(aObjects, aRevision);
}

void StoreSnapshot::Apply(const std::vector<StoredObject>& aChanges, std::uint64_t aRevision)
{
  for (const StoredObject& change : aChanges) {
    m_newestChange = std::max(m_newestChange, change.m_revision);
    if (change.m_deleted) {
      m_objects.erase(change.m_name);
    } else {
      m_objects[change.m_name] = change;
    }
  }
  m_revision = std::max({ m_revision, aRevision, m_newestChange });
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

std::string StoreSnapshot::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["revision"] = Json::UInt64{ m_revision };
  json["objects"] = Json::Value(Json::arrayValue);
  for (const auto& [name, object] : m_objects) {
    Json::Value entry(Json::objectValue);
    entry["name"] = name;
    entry["revision"] = Json::UInt64{ object.m_revision };
    entry["value"] = object.m_value;
    json["objects"].append(std::move(entry));
  }
  return base::WriteJson(json);
}

base::Result<StoreSnapshot> StoreSnapshot::FromJson(std::string_view aText)
{
  auto json = base::ParseJson(aText);
  if (!json) {
    return json.GetError();
  }
  if (!json->isObject() || !(*json)["revision"].isUInt64() || !(*json)["objects"].isArray()) {
    return InvalidSnapshot("peer snapshot: revision or objects are missing");
  }
  std::vector<StoredObject> objects;
  for (const Json::Value& entry : (*json)["objects"]) {
    if (!entry.isObject() || !entry["name"].isString() || !entry["revision"].isUInt64()) {
      return InvalidSnapshot("peer snapshot: object without name or revision");
    }
    StoredObject object;
    object.m_name = entry["name"].asString();
    object.m_revision = entry["revision"].asUInt64();
    object.m_value = entry["value"];
    objects.push_back(std::move(object));
  }
  StoreSnapshot snapshot;
  snapshot.Replace(objects, (*json)["revision"].asUInt64());
  return snapshot;
}

} // namespace jaylane::gateway
