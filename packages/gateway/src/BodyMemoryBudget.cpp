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
    if (!m_budget.EvictStalled(*this) && !m_budget.EvictLargerThan(aBytes)) {
      return false;
    }
  }
  if (aBytes > m_bytes) {
    m_isStalled = false;
    m_budget.m_used += aBytes - m_bytes;
    m_bytes = aBytes;
  }
  return true;
}

void BodyMemoryBudget::Reservation::ShrinkTo(std::uint64_t aBytes)
{
  if (aBytes < m_bytes) {
    m_budget.m_used -= m_bytes - aBytes;
    m_bytes = aBytes;
  }
}

bool BodyMemoryBudget::Reservation::EvictStalledFor(std::uint64_t aBytes)
{
  if (Fits(aBytes)) {
    return true;
  }
  std::uint64_t stalled = 0;
  for (const Reservation* reservation : m_budget.m_evictable) {
    stalled += reservation != this && reservation->m_isStalled ? reservation->m_bytes : 0;
  }
  if (!Fits(aBytes - std::min(aBytes, stalled))) {
    return false;
  }
  while (!Fits(aBytes)) {
    if (!m_budget.EvictStalled(*this)) {
      return false;
    }
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

bool BodyMemoryBudget::EvictStalled(const Reservation& aFor)
{
  Reservation* largest = nullptr;
  for (Reservation* reservation : m_evictable) {
    if (reservation != &aFor && reservation->m_isStalled && reservation->m_bytes > 0 &&
        (!largest || reservation->m_bytes > largest->m_bytes)) {
      largest = reservation;
    }
  }
  if (!largest) {
    return false;
  }
  Evict(*largest);
  return true;
}

bool BodyMemoryBudget::EvictLargerThan(std::uint64_t aBytes)
{
  const auto largest = std::ranges::max_element(
    m_evictable, {}, [](const Reservation* aReservation) { return aReservation->m_bytes; });
  if (largest == m_evictable.end() || (*largest)->m_bytes <= aBytes) {
    return false;
  }
  Evict(**largest);
  return true;
}

void BodyMemoryBudget::Evict(Reservation& aEvicted)
{
  const auto onEvicted = std::move(aEvicted.m_onEvicted);
  aEvicted.m_onEvicted = nullptr;
  m_evictable.erase(&aEvicted);
  m_used -= aEvicted.m_bytes;
  aEvicted.m_bytes = 0;
  ++m_evictions;
  onEvicted();
}

} // namespace jaylane::gateway
