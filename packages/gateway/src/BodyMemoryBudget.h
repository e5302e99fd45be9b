#pragma once

#include <cstdint>
#include <memory>

namespace jaylane::gateway {

/// Limits the bytes of request and response bodies that the process buffers at the same time.
/// Bodies are buffered whole, so that a request can be retried and a truncated response is never
/// passed on; without the limit many large bodies would exhaust the memory. Used by the request
/// thread only.
class BodyMemoryBudget
{
public:
  /// Bytes reserved for one body, released on destruction.
  class Reservation
  {
  public:
    explicit Reservation(BodyMemoryBudget& aBudget)
      : m_budget(aBudget)
    {
    }
    ~Reservation() { m_budget.m_used -= m_bytes; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// @param aBytes size of the part of the body received so far.
    /// @return whether the budget allows it; if not, the reservation is unchanged.
    bool GrowTo(std::uint64_t aBytes);

    /// @return whether GrowTo() would succeed now.
    bool Fits(std::uint64_t aBytes) const;

  private:
    BodyMemoryBudget& m_budget;
    std::uint64_t m_bytes = 0;
  };

  /// @param aLimit bytes of all bodies together.
  explicit BodyMemoryBudget(std::uint64_t aLimit)
    : m_limit(aLimit)
  {
  }

  std::shared_ptr<Reservation> MakeReservation() { return std::make_shared<Reservation>(*this); }
  std::uint64_t Used() const { return m_used; }

private:
  std::uint64_t m_limit;
  std::uint64_t m_used = 0;
};

inline bool BodyMemoryBudget::Reservation::Fits(std::uint64_t aBytes) const
{
  return aBytes <= m_bytes || aBytes - m_bytes <= m_budget.m_limit - m_budget.m_used;
}

inline bool BodyMemoryBudget::Reservation::GrowTo(std::uint64_t aBytes)
{
  if (!Fits(aBytes)) {
    return false;
  }
  if (aBytes > m_bytes) {
    m_budget.m_used += aBytes - m_bytes;
    m_bytes = aBytes;
  }
  return true;
}

} // namespace jaylane::gateway
