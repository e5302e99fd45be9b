#include "jaylane/ctl/Fleet.h"

#include <set>

namespace jaylane::ctl {

namespace {

std::string TextOf(const Json::Value& aObject, const char* aKey)
{
  return aObject[aKey].isString() ? aObject[aKey].asString() : std::string();
}

} // namespace

Fleet::Fleet(AdminClient& aClient, std::vector<std::string> aVms)
  : m_client(aClient)
  , m_vms(std::move(aVms))
{
}

AdminClientResponse Fleet::Query(const AdminRequest& aRequest)
{
  AdminClientResponse response{ Delivery::NotSent, 0, {}, "no VM address given; use --vms" };
  for (const std::string& vm : m_vms) {
    response = m_client.Send(vm, aRequest);
    if (response.m_delivery == Delivery::Answered && response.m_status < 500) {
      return response;
    }
  }
  return response;
}

std::vector<VmInfo> Fleet::Discover()
{
  std::vector<VmInfo> vms;
  std::set<std::string> seen;
  for (const std::string& address : m_vms) {
    const AdminClientResponse response = m_client.Send(address, { "GET", "/v1/status", {} });
    if (!response.Succeeded() || !response.m_body.isObject()) {
      continue;
    }
    for (const Json::Value& entry : response.m_body["vms"]) {
      if (!entry.isObject() || !seen.insert(TextOf(entry, "id")).second) {
        continue;
      }
      const Json::Value& generation = entry["generation_in_effect"];
      vms.push_back({ TextOf(entry, "id"),
                      TextOf(entry, "region"),
                      TextOf(entry, "zone"),
                      TextOf(entry, "state"),
                      TextOf(entry, "admin_address"),
                      generation.isUInt64() ? generation.asUInt64() : 0 });
    }
  }
  return vms;
}

} // namespace jaylane::ctl
