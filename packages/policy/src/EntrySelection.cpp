#include "jaylane/policy/EntrySelection.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

/// @return the smallest number of VMs, the largest first, that can serve the requests if each gets
/// the same part; all if that is not enough.
std::size_t CountFor(const std::vector<EntrySelection::Vm>& aSortedVms,
                     double aRequestsPerSecond,
                     const EntrySelection::Options& aOptions)
{
  for (std::size_t count = aOptions.m_minVms; count < aSortedVms.size(); ++count) {
    const double smallest = aSortedVms[count - 1].m_cores;
    if (static_cast<double>(count) * smallest * aOptions.m_requestsPerCore >= aRequestsPerSecond) {
      return smallest > 0 ? count : aSortedVms.size();
    }
  }
  return aSortedVms.size();
}

} // namespace

std::vector<std::string> EntrySelection::Select(std::vector<Vm> aVms, base::MonotonicTime aNow)
{
  const auto order = [](const Vm& aVm) {
    return std::make_tuple(-aVm.m_cores, XXH64(aVm.m_name.data(), aVm.m_name.size(), 0));
  };
  std::ranges::sort(
    aVms, [&](const Vm& aLeft, const Vm& aRight) { return order(aLeft) < order(aRight); });
  const double demand =
    std::accumulate(aVms.begin(), aVms.end(), 0.0, [](double aSum, const Vm& aVm) {
      return aSum + aVm.m_requestsPerSecond;
    });
  const std::size_t needed = CountFor(aVms, demand, m_options);
  if (CountFor(aVms, demand * m_options.m_shrinkMargin, m_options) >= m_count) {
    m_neededAt = aNow;
  }
  if (needed > m_count || aNow - m_neededAt >= m_options.m_shrinkDelay) {
    m_count = needed;
    m_neededAt = aNow;
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < std::min(m_count, aVms.size()); ++i) {
    names.push_back(std::move(aVms[i].m_name));
  }
  return names;
}

} // namespace jaylane::policy
