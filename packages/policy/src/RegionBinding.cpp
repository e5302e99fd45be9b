#include "jaylane/policy/RegionBinding.h"

namespace jaylane::policy {

void RegionBinding::Add(const AllowedRegions& aAllowed)
{
  const std::set<std::string>* added = aAllowed.Get();
  if (!added) {
    return;
  }
  if (!m_regions) {
    m_regions = *added;
    return;
  }
  std::erase_if(*m_regions,
                [added](const std::string& aRegion) { return !added->contains(aRegion); });
}

} // namespace jaylane::policy
