#include "jaylane/policy/AllowedRegions.h"

#include <algorithm>
#include <iterator>

namespace jaylane::policy {

AllowedRegions::AllowedRegions(const Route& aRoute, const Team* aTeam)
{
  const bool isRouteBound = !aRoute.m_allowedRegions.empty();
  const bool isTeamBound = aTeam && !aTeam->m_allowedRegions.empty();
  m_isCommon = isRouteBound && isTeamBound;
  if (m_isCommon) {
    std::ranges::set_intersection(
      aRoute.m_allowedRegions, aTeam->m_allowedRegions, std::inserter(m_common, m_common.end()));
  } else if (isTeamBound) {
    m_single = &aTeam->m_allowedRegions;
  } else if (isRouteBound) {
    m_single = &aRoute.m_allowedRegions;
  }
}

const std::set<std::string>* AllowedRegions::Get() const
{
  return m_isCommon ? &m_common : m_single;
}

} // namespace jaylane::policy
