#include "jaylane/policy/LegalFilter.h"

#include <algorithm>
#include <tuple>

namespace jaylane::policy {

namespace {

bool Forbids(const LegalRule& aRule, std::string_view aRegion)
{
  return std::find(aRule.m_allowedRegions.begin(), aRule.m_allowedRegions.end(), aRegion) ==
         aRule.m_allowedRegions.end();
}

} // namespace

LegalFilter::LegalFilter(std::string_view aService,
                         std::vector<LegalRule> aRules,
                         std::chrono::milliseconds aMaxClockError)
  : m_rules(std::move(aRules))
  , m_maxClockError(aMaxClockError)
{
  std::erase_if(m_rules, [aService](const LegalRule& aRule) {
    return !aRule.m_service.empty() && aRule.m_service != aService;
  });
  std::sort(m_rules.begin(), m_rules.end(), [](const LegalRule& aLeft, const LegalRule& aRight) {
    return std::tie(aLeft.m_origin, aLeft.m_effectiveAt, aLeft.m_id) <
           std::tie(aRight.m_origin, aRight.m_effectiveAt, aRight.m_id);
  });
}

const LegalRule* LegalFilter::FindViolation(std::string_view aOrigin,
                                            std::string_view aRegion,
                                            base::WallTime aNow) const
{
  // Rules with an empty origin apply to every origin.
  for (const auto key : { std::string_view{}, aOrigin }) {
    auto rule = std::lower_bound(
      m_rules.begin(), m_rules.end(), key, [](const LegalRule& aRule, std::string_view aKey) {
        return aRule.m_origin < aKey;
      });
    for (; rule != m_rules.end() && rule->m_origin == key; ++rule) {
      // Subtracts from the effective time because aNow may be the largest time point, to which
      // nothing can be added.
      if (rule->m_effectiveAt - m_maxClockError > aNow) {
        break;
      }
      if (Forbids(*rule, aRegion)) {
        return &*rule;
      }
    }
  }
  return nullptr;
}

bool LegalFilter::AllowsEventually(std::string_view aOrigin, std::string_view aRegion) const
{
  return FindViolation(aOrigin, aRegion, base::WallTime::max()) == nullptr;
}

} // namespace jaylane::policy
