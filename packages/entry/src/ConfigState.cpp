#include "ConfigState.h"

#include "jaylane/base/SocketAddress.h"

#include <utility>

namespace jaylane::entry {

namespace {

// Mask of a /24 network, the unit of steering.
constexpr std::uint32_t kSteeredMask = 0xffffff00;

std::vector<policy::LegalRule> LegalRules(const settings::SettingsTree& aTree)
{
  std::vector<policy::LegalRule> rules;
  for (const settings::Law& law : aTree.Laws()) {
    rules.push_back(
      { law.m_id, law.m_service, law.m_originRegion, law.m_allowedRegions, law.m_effectiveAt });
  }
  return rules;
}

std::vector<std::string> OriginNames(const settings::SettingsTree& aTree)
{
  std::vector<std::string> names;
  for (const settings::Region& region : aTree.Regions()) {
    names.push_back(region.m_name);
  }
  return names;
}

std::vector<policy::ClientBlock> Blocks(const settings::SettingsTree& aTree,
                                        const std::vector<std::string>& aOrigins)
{
  std::vector<policy::ClientBlock> blocks;
  for (const settings::ClientBlock& block : aTree.ClientBlocks()) {
    const auto found = std::find(aOrigins.begin(), aOrigins.end(), block.m_region);
    blocks.push_back({ block.m_prefix.m_address,
                       block.m_prefix.m_length,
                       static_cast<policy::OriginIndex>(found - aOrigins.begin()) });
  }
  return blocks;
}

} // namespace

const ServiceConfig* Config::FindService(std::string_view aName) const
{
  const auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : &found->second;
}

std::optional<CallerOrigin> FindOrigin(const Config& aConfig, std::string_view aCaller)
{
  const auto address = base::SocketAddress::ParseHost(aCaller);
  if (!address) {
    return std::nullopt;
  }
  const auto match = aConfig.m_blocks.Find(*address);
  if (!match) {
    return std::nullopt;
  }
  return CallerOrigin{ *address & kSteeredMask, aConfig.m_origins[match->m_origin] };
}

ConfigState::ConfigState(const VmContext& aContext)
  : m_context(aContext)
{
}

void ConfigState::SetChangeHook(ChangeHook aHook)
{
  std::lock_guard lock(m_mutex);
  m_hook = std::move(aHook);
}

base::Result<std::shared_ptr<const Config>> ConfigState::Build(const std::string& aText) const
{
  auto document = settings::SettingsDocument::Parse(aText);
  if (!document) {
    return document.GetError();
  }
  const settings::SettingsTree& tree = document->m_tree;
  auto origins = OriginNames(tree);
  auto blocks = policy::BlockIndex::Make(Blocks(tree, origins));
  if (!blocks) {
    return blocks.GetError();
  }
  std::map<std::string, ServiceConfig, std::less<>> services;
  const policy::SiteId& site = m_context.m_site;
  for (const settings::Service& service : tree.Services()) {
    services.emplace(
      service.m_name,
      ServiceConfig{ service,
                     policy::LegalFilter(service.m_name, LegalRules(tree), kMaxClockDifference),
                     tree.Effective(site.m_region, service.m_name, site.m_zone) });
  }
  return std::shared_ptr<const Config>(std::make_shared<Config>(
    Config{ std::move(*document), std::move(*blocks), std::move(origins), std::move(services) }));
}

bool ConfigState::Apply(const std::string& aText)
{
  auto built = Build(aText);
  if (!built) {
    Json::Value fields;
    fields["error"] = built.GetError().Message();
    m_context.m_log.Error("settings from the store are invalid; keeping the current ones", fields);
    return false;
  }
  const std::uint64_t generation = (*built)->m_document.m_generation;
  ChangeHook hook;
  {
    std::lock_guard lock(m_mutex);
    const std::uint64_t current = m_current ? m_current->m_document.m_generation : 0;
    if (generation <= current) {
      if (generation < current) {
        Json::Value fields;
        fields["generation"] = Json::UInt64(generation);
        fields["current"] = Json::UInt64(current);
        m_context.m_log.Warning("ignored an older settings generation", fields);
      }
      return false;
    }
    m_current = *built;
    m_text = aText;
    hook = m_hook;
  }
  Json::Value fields;
  fields["generation"] = Json::UInt64(generation);
  m_context.m_events.Record("settings-applied", fields);
  if (hook) {
    hook(**built);
  }
  return true;
}

std::shared_ptr<const Config> ConfigState::Current() const
{
  std::lock_guard lock(m_mutex);
  return m_current;
}

std::uint64_t ConfigState::Generation() const
{
  const auto current = Current();
  return current ? current->m_document.m_generation : 0;
}

std::string ConfigState::CurrentText() const
{
  std::lock_guard lock(m_mutex);
  return m_text;
}

} // namespace jaylane::entry
