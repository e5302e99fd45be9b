#include "jaylane/policy/ZoneContact.h"

#include <algorithm>
#include <functional>

namespace jaylane::policy {

std::optional<base::MonotonicTime> MostZonesHeardAt(
  std::vector<std::optional<base::MonotonicTime>> aHeardAt)
{
  if (aHeardAt.empty()) {
    return std::nullopt;
  }
  const auto middle = aHeardAt.begin() + static_cast<std::ptrdiff_t>(aHeardAt.size() / 2);
  std::ranges::nth_element(aHeardAt, middle, std::greater{});
  return *middle;
}

} // namespace jaylane::policy
