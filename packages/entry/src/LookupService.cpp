#include "LookupService.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::chrono::seconds kRetryAfter{ 1 };
// Size of a response with four VMs; a longer one only costs a second allocation.
constexpr std::size_t kExpectedBytes = 768;

proxy::LookupResponse Refuse(unsigned aStatus, std::string_view aCode, std::string_view aMessage)
{
  return { aStatus,
           fmt::format(R"({{"error":{{"code":"{}","message":"{}"}}}})", aCode, aMessage),
           aStatus == 503 ? kRetryAfter : std::chrono::seconds{ 0 } };
}

} // namespace

LookupService::LookupService(const VmContext& aContext,
                             const ConfigState& aConfig,
                             const Directory& aDirectory,
                             const SteeringState& aSteering,
                             std::function<std::string(const std::string&)> aScopeOf)
  : m_context(aContext)
  , m_config(aConfig)
  , m_directory(aDirectory)
  , m_steering(aSteering)
  , m_scopeOf(std::move(aScopeOf))
{
}

void LookupService::AppendSiteVms(const DirectoryView& aView,
                                  const policy::SiteId& aSite,
                                  std::uint32_t aBlock,
                                  Directory::VmFilter aFilter,
                                  std::vector<const EntryVmRef*>& aVms) const
{
  const auto found = aView.m_vmsBySite.find(aSite);
  if (found == aView.m_vmsBySite.end()) {
    return;
  }
  const auto& indices = found->second;
  // The first VM depends on the number of the caller's /24 block, which distributes callers over
  // the site's VMs.
  for (std::size_t i = 0; i < indices.size() && aVms.size() < kMaxVms; ++i) {
    const EntryVmRef& vm = aView.m_entryVms[indices[(aBlock / 256 + i) % indices.size()]];
    const bool isSelf = vm.m_incarnation == m_context.m_incarnationText;
    if ((m_directory.*aFilter)(vm) && !(isSelf && m_excludeSelf)) {
      aVms.push_back(&vm);
    }
  }
}

std::vector<const EntryVmRef*> LookupService::PickVms(const DirectoryView& aView,
                                                      const policy::SteeringTable& aTable,
                                                      policy::SiteIndex aSite,
                                                      const ServiceConfig& aService,
                                                      const CallerOrigin& aOrigin,
                                                      Directory::VmFilter aFilter) const
{
  const auto now = m_context.m_clock.Wall();
  const auto legal = [&](const policy::SiteId& aCandidate) {
    return aService.m_legal.Allows(aOrigin.m_region, aCandidate.m_region, now);
  };
  std::vector<const EntryVmRef*> vms;
  vms.reserve(kMaxVms);
  const policy::SiteId& assigned = aTable.SiteAt(aSite);
  if (legal(assigned)) {
    AppendSiteVms(aView, assigned, aOrigin.m_block, aFilter, vms);
  }
  // Other sites are alternatives for the case that the assigned one fails; sites of the origin's
  // region come first.
  for (const bool near : { true, false }) {
    for (const policy::SiteId& site : aTable.Sites()) {
      if (vms.size() == kMaxVms) {
        return vms;
      }
      if (site != assigned && (site.m_region == aOrigin.m_region) == near && legal(site)) {
        AppendSiteVms(aView, site, aOrigin.m_block, aFilter, vms);
      }
    }
  }
  return vms;
}

std::string LookupService::FormatResponse(const ServiceConfig& aService,
                                          std::uint64_t aGeneration,
                                          const std::vector<const EntryVmRef*>& aVms) const
{
  std::string scope = m_scopeOf(aVms.front()->m_incarnation);
  if (scope.empty()) {
    // The scope of the first VM is not known yet. That VM forwards keys of this VM's scope to here.
    scope = m_scopeOf(m_context.m_incarnationText);
  }
  const fmt::format_int generation(aGeneration);
  const fmt::format_int lifetime(aService.m_effective.m_lookupLifetime.count());
  std::string text;
  text.reserve(kExpectedBytes);
  text.append(R"({"service":")").append(aService.m_service.m_name);
  text.append(R"(","generation":)").append(generation.data(), generation.size());
  text.append(R"(,"lifetime_ms":)").append(lifetime.data(), lifetime.size());
  text.append(R"(,"scope":")").append(scope).append(R"(","vms":[)");
  for (const EntryVmRef* vm : aVms) {
    text.append(vm->m_lookupJson).push_back(',');
  }
  text.pop_back();
  return text.append("]}");
}

proxy::LookupResponse LookupService::Handle(const proxy::LookupRequest& aRequest) const
{
  const auto config = m_config.Current();
  if (!config) {
    return Refuse(503, "no-settings", "this VM has not received the settings yet");
  }
  const ServiceConfig* service = config->FindService(aRequest.m_service);
  if (!service) {
    return Refuse(404, "unknown-service", "the settings contain no such service");
  }
  const auto origin = FindOrigin(*config, aRequest.m_caller);
  if (!origin) {
    return Refuse(403, "unknown-origin", "no client block contains the caller's address");
  }
  const auto table = m_steering.Applied(aRequest.m_service);
  const auto index = table ? table->FindOrigin(origin->m_region) : std::nullopt;
  if (!index) {
    return Refuse(503, "no-table", "this VM has not received the steering table yet");
  }
  const auto view = m_directory.Current();
  const auto site = table->Lookup({ origin->m_block, *index });
  auto vms = PickVms(*view, *table, site, *service, *origin, &Directory::IsReady);
  if (vms.empty()) {
    // After a restart of all VMs, those that wait for slots are better than none.
    vms = PickVms(*view, *table, site, *service, *origin, &Directory::IsUsable);
  }
  if (vms.empty()) {
    return Refuse(403, "legal", "no region that may serve the caller has a VM");
  }
  return { 200, FormatResponse(*service, table->Generation(), vms), {} };
}

} // namespace jaylane::entry
