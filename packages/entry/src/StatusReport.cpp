#include "StatusReport.h"

namespace jaylane::entry {

namespace {

const char* StateName(bool aLeaving)
{
  return aLeaving ? "leaving" : "running";
}

/// @return whether a graceful shutdown has begun.
bool IsStopping(const std::string& aLifecycle)
{
  return aLifecycle == "draining" || aLifecycle == "finishing" || aLifecycle == "handing-over" ||
         aLifecycle == "stopped";
}

Json::Value MakeOwnEntry(const VmContext& aContext, const OwnStatus& aStatus)
{
  Json::Value entry(Json::objectValue);
  entry["id"] = aContext.m_settings.m_id;
  entry["region"] = aContext.m_site.m_region;
  entry["zone"] = aContext.m_site.m_zone;
  entry["state"] = StateName(IsStopping(aStatus.m_lifecycle));
  entry["admin_address"] = aStatus.m_adminAddress;
  entry["generation_in_effect"] = Json::UInt64(aStatus.m_generationInEffect);
  return entry;
}

Json::Value MakeEntry(const EntryVmRef& aVm)
{
  Json::Value entry(Json::objectValue);
  entry["id"] = aVm.m_id;
  entry["region"] = aVm.m_site.m_region;
  entry["zone"] = aVm.m_site.m_zone;
  entry["state"] = StateName(aVm.m_leaving);
  entry["admin_address"] = aVm.m_adminAddress;
  return entry;
}

} // namespace

Json::Value MakeStatus(const VmContext& aContext,
                       const DirectoryView& aView,
                       const OwnStatus& aStatus)
{
  Json::Value json(Json::objectValue);
  Json::Value own = MakeOwnEntry(aContext, aStatus);
  Json::Value& vm = json["vm"];
  for (const char* key : { "id", "region", "zone", "state" }) {
    vm[key] = own[key];
  }
  vm["incarnation"] = aContext.m_incarnationText;
  vm["lifecycle"] = aStatus.m_lifecycle;
  json["generation"] = Json::UInt64(aStatus.m_generation);
  json["generation_in_effect"] = Json::UInt64(aStatus.m_generationInEffect);
  json["store"]["reachable"] = aStatus.m_storeReachable;
  Json::Value& vms = json["vms"];
  vms = Json::arrayValue;
  vms.append(std::move(own));
  for (const EntryVmRef& listed : aView.m_entryVms) {
    // The list may still show an earlier incarnation of this VM.
    if (listed.m_id != aContext.m_settings.m_id) {
      vms.append(MakeEntry(listed));
    }
  }
  return json;
}

} // namespace jaylane::entry
