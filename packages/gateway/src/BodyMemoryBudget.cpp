#include "BodyMemoryBudget.h"

#include <algorithm>
#include <utility>

namespace jaylane::gateway {

BodyMemoryBudget::Reservation::~Reservation()
{
  m_budget.m_used -= m_bytes;
  m_budget.m_evictable.erase(this);
}

bool BodyMemoryBudget::Reservation::Fits(std::uint64_t aBytes) const
{
  return aBytes <= m_bytes || aBytes - m_bytes <= m_budget.m_limit - m_budget.m_used;
}

bool BodyMemoryBudget::Reservation::GrowTo(std::uint64_t aBytes)
{
  while (!Fits(aBytes)) {
    if (!m_budget.EvictLargerThan(aBytes)) {
      return false;
    }
  }
  if (aBytes > m_bytes) {
    m_budget.m_used += aBytes - m_bytes;
    m_bytes = aBytes;
  }
  return true;
}

void BodyMemoryBudget::Reservation::SetEvictable(std::function<void()> aOnEvicted)
{
  m_onEvicted = std::move(aOnEvicted);
  if (m_onEvicted) {
    m_budget.m_evictable.insert(this);
  } else {
    m_budget.m_evictable.erase(this);
  }
}

bool BodyMemoryBudget::EvictLargerThan(std::uint64_t aBytes)
{
  const auto largest = std::ranges::max_element(
    m_evictable, {}, [](const Reservation* aReservation) { return aReservation->m_bytes; });
  if (largest == m_evictable.end() || (*largest)->m_bytes <= aBytes) {
    return false;
  }
  Reservation& evicted = **largest;
  const auto onEvicted = std::move(evicted.m_onEvicted);
  m_evictable.erase(largest);
  m_used -= evicted.m_bytes;
  evicted.m_bytes = 0;
  onEvicted();
  return true;
}

} // namespace jaylane::gateway
