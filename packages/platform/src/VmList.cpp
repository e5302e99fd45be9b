#include "jaylane/platform/VmList.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/platform/PlatformError.h"

#include <optional>

namespace jaylane::platform {

namespace {

std::string StringOrEmpty(const Json::Value& aObject, const char* aName)
{
  const Json::Value& field = aObject[aName];
  return field.isString() ? field.asString() : std::string();
}

std::uint32_t UintOrZero(const Json::Value& aObject, const char* aName)
{
  const Json::Value& field = aObject[aName];
  return field.isUInt() ? field.asUInt() : 0;
}

std::optional<VmEntry> ParseEntry(const Json::Value& aJson)
{
  if (!aJson.isObject()) {
    return std::nullopt;
  }
  VmEntry vm;
  vm.m_id = StringOrEmpty(aJson, "id");
  const std::string role = StringOrEmpty(aJson, "role");
  const std::string state = StringOrEmpty(aJson, "state");
  if (vm.m_id.empty() || (role != "entry" && role != "upstream") ||
      (state != "running" && state != "leaving")) {
    return std::nullopt;
  }
  vm.m_role = role == "entry" ? VmRole::Entry : VmRole::Upstream;
  vm.m_state = state == "running" ? VmState::Running : VmState::Leaving;
  vm.m_service = StringOrEmpty(aJson, "service");
  vm.m_region = StringOrEmpty(aJson, "region");
  vm.m_zone = StringOrEmpty(aJson, "zone");
  vm.m_address = StringOrEmpty(aJson, "address");
  vm.m_peerAddress = StringOrEmpty(aJson, "peer_address");
  vm.m_adminAddress = StringOrEmpty(aJson, "admin_address");
  vm.m_slots = UintOrZero(aJson, "slots");
  vm.m_connections = UintOrZero(aJson, "connections");
  vm.m_incarnation = StringOrEmpty(aJson, "incarnation");
  return vm;
}

} // namespace

Json::Value VmEntry::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["id"] = m_id;
  json["role"] = m_role == VmRole::Entry ? "entry" : "upstream";
  json["service"] = m_service;
  json["region"] = m_region;
  json["zone"] = m_zone;
  json["address"] = m_address;
  json["peer_address"] = m_peerAddress;
  json["admin_address"] = m_adminAddress;
  json["state"] = m_state == VmState::Running ? "running" : "leaving";
  json["slots"] = m_slots;
  json["connections"] = m_connections;
  json["incarnation"] = m_incarnation;
  return json;
}

base::Result<VmList> VmList::Parse(const Json::Value& aJson)
{
  if (!aJson.isObject() || !aJson["vms"].isArray()) {
    return MakeError(PlatformErrc::Malformed, "VM list has no array \"vms\"");
  }
  VmList list;
  for (const Json::Value& item : aJson["vms"]) {
    std::optional<VmEntry> vm = ParseEntry(item);
    if (!vm) {
      return MakeError(PlatformErrc::Malformed, "VM without id or with invalid role or state");
    }
    list.m_vms.push_back(std::move(*vm));
  }
  return list;
}

base::Result<VmList> VmList::Parse(std::string_view aText)
{
  const std::optional<Json::Value> json = ParseJsonObject(aText);
  if (!json) {
    return MakeError(PlatformErrc::Malformed, "VM list is not a JSON object");
  }
  return Parse(*json);
}

Json::Value VmList::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["vms"] = Json::arrayValue;
  for (const VmEntry& vm : m_vms) {
    json["vms"].append(vm.ToJson());
  }
  return json;
}

} // namespace jaylane::platform
