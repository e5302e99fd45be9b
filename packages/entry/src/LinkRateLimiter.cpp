#include "LinkRateLimiter.h"

#include <algorithm>

namespace jaylane::entry {

namespace {

constexpr std::uint64_t kBytesPerMbit = 1'000'000 / 8;

policy::LinkLimits MakeLinkLimits(const Config& aConfig,
                                  const policy::SiteId& aSite,
                                  std::uint32_t aVms)
{
  const settings::SettingsTree& tree = aConfig.m_document.m_tree;
  policy::LinkLimits limits;
  for (const settings::Link& link : tree.Links()) {
    if (link.m_from == aSite.m_region) {
      limits.m_links.push_back({ link.m_to, link.m_rateMbitPerSecond * kBytesPerMbit });
    }
  }
  limits.m_vmCount = aVms;
  limits.m_bulkFraction = tree.Effective(aSite.m_region, "", "").m_linkBulkPercent / 100.0;
  return limits;
}

} // namespace

LinkRateLimiter::LinkRateLimiter(const VmContext& aContext)
  : m_context(aContext)
{
}

void LinkRateLimiter::Apply(const Config& aConfig, const DirectoryView& aView)
{
  const policy::SiteId& site = m_context.m_site;
  const auto listed = static_cast<std::uint32_t>(
    std::count_if(aView.m_entryVms.begin(), aView.m_entryVms.end(), [&](const EntryVmRef& aVm) {
      return aVm.m_site.m_region == site.m_region;
    }));
  std::lock_guard lock(m_mutex);
  const std::uint32_t count = std::max(m_vmCount, listed);
  const std::uint64_t generation = aConfig.m_document.m_generation;
  if (m_budget && count == m_vmCount && generation == m_generation) {
    return;
  }
  auto budget =
    policy::LinkBudget::Make(MakeLinkLimits(aConfig, site, count), m_context.m_clock.Monotonic());
  if (budget) {
    m_budget = std::move(*budget);
    m_vmCount = count;
    m_generation = generation;
  }
}

std::size_t LinkRateLimiter::Draw(const std::string& aToRegion, bool aBulk, std::size_t aWanted)
{
  const auto transfer = aBulk ? policy::TransferClass::Bulk : policy::TransferClass::Interactive;
  std::lock_guard lock(m_mutex);
  return m_budget ? m_budget->Draw(aToRegion, aWanted, transfer, m_context.m_clock.Monotonic())
                  : aWanted;
}

} // namespace jaylane::entry
