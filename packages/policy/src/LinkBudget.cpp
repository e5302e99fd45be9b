#include "jaylane/policy/LinkBudget.h"

#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

base::Result<LinkBudget> LinkBudget::Make(const LinkLimits& aLimits, base::MonotonicTime aStartedAt)
{
  if (aLimits.m_vmCount == 0 || aLimits.m_burst <= std::chrono::milliseconds::zero()) {
    return base::Error{ PolicyErrc::InvalidLimits,
                        "the VM count and the burst must be greater than 0" };
  }
  if (!(aLimits.m_bulkFraction >= 0 && aLimits.m_bulkFraction <= 1)) {
    return base::Error{ PolicyErrc::InvalidLimits, "the bulk fraction must be between 0 and 1" };
  }
  LinkBudget budget;
  for (const auto& link : aLimits.m_links) {
    const double rate = static_cast<double>(link.m_bytesPerSecond) / aLimits.m_vmCount;
    const double burst = rate * Seconds(aLimits.m_burst).count();
    const double bulk = aLimits.m_bulkFraction;
    // A burst below one byte would never admit anything.
    if (!(burst >= 1) || (bulk > 0 && !(burst * bulk >= 1))) {
      return base::Error{ PolicyErrc::InvalidLimits,
                          "a VM's burst on the link to " + link.m_toRegion +
                            " is less than 1 byte" };
    }
    const Link shares{ { rate, burst, 0, aStartedAt },
                       { rate * bulk, burst * bulk, 0, aStartedAt } };
    if (!budget.m_links.emplace(link.m_toRegion, shares).second) {
      return base::Error{ PolicyErrc::InvalidLimits,
                          "more than one rate for the link to " + link.m_toRegion };
    }
  }
  return budget;
}

double LinkBudget::TokenBucket::TokensAt(base::MonotonicTime aNow) const
{
  const auto elapsed = std::max(Seconds::zero(), Seconds(aNow - m_updatedAt));
  return std::min(m_burst, m_tokens + elapsed.count() * m_bytesPerSecond);
}

std::uint64_t LinkBudget::Acquire(std::string_view aToRegion,
                                  std::uint64_t aWanted,
                                  TransferClass aClass,
                                  base::MonotonicTime aNow)
{
  const auto found = m_links.find(aToRegion);
  if (found == m_links.end()) {
    return aWanted;
  }
  auto& [all, bulk] = found->second;
  for (auto* bucket : { &all, &bulk }) {
    bucket->m_tokens = bucket->TokensAt(aNow);
    bucket->m_updatedAt = std::max(bucket->m_updatedAt, aNow);
  }
  const bool isBulk = aClass == TransferClass::Bulk;
  const auto available = isBulk ? std::min(all.m_tokens, bulk.m_tokens) : all.m_tokens;
  const auto granted = std::min(aWanted, static_cast<std::uint64_t>(available));
  all.m_tokens -= static_cast<double>(granted);
  if (isBulk) {
    bulk.m_tokens -= static_cast<double>(granted);
  }
  return granted;
}

std::chrono::nanoseconds LinkBudget::WaitFor(std::string_view aToRegion,
                                             std::uint64_t aBytes,
                                             TransferClass aClass,
                                             base::MonotonicTime aNow) const
{
  const auto found = m_links.find(aToRegion);
  if (found == m_links.end()) {
    return std::chrono::nanoseconds::zero();
  }
  const auto wait = [aBytes, aNow](const TokenBucket& aBucket) {
    const auto wanted = std::min(static_cast<double>(aBytes), std::floor(aBucket.m_burst));
    const auto missing = wanted - aBucket.TokensAt(aNow);
    if (missing <= 0) {
      return std::chrono::nanoseconds::zero();
    }
    if (aBucket.m_bytesPerSecond <= 0) {
      return std::chrono::nanoseconds::max();
    }
    // One more nanosecond covers the rounding of the token count.
    return std::chrono::ceil<std::chrono::nanoseconds>(
             Seconds(missing / aBucket.m_bytesPerSecond)) +
           std::chrono::nanoseconds{ 1 };
  };
  const auto& [all, bulk] = found->second;
  return aClass == TransferClass::Bulk ? std::max(wait(all), wait(bulk)) : wait(all);
}

} // namespace jaylane::policy
