#pragma once

#include <cstdint>
#include <memory>

namespace jaylane::gateway {

/// Bytes of the request and response bodies that a process holds at the same time. Bodies are held
/// whole, so that a request can be repeated and a truncated response is never passed on; this keeps
/// many large ones from ending the process. Used by the request thread only.
class BodyMemoryBudget
{
public:
  /// Bytes held for one body, given back on destruction.
  class Reservation
  {
  public:
    explicit Reservation(BodyMemoryBudget& aMemory)
      : m_memory(aMemory)
    {
    }
    ~Reservation() { m_memory.m_used -= m_bytes; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// @param aBytes size of the body as far as it is known.
    /// @return whether that much may be held; if not, the reservation stays as it was.
    bool GrowTo(std::uint64_t aBytes);

    /// @return whether the body could grow to that size now.
    bool Fits(std::uint64_t aBytes) const;

  private:
    BodyMemoryBudget& m_memory;
    std::uint64_t m_bytes = 0;
  };

  /// @param aLimit bytes in all.
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
  return aBytes <= m_bytes || aBytes - m_bytes <= m_memory.m_limit - m_memory.m_used;
}

inline bool BodyMemoryBudget::Reservation::GrowTo(std::uint64_t aBytes)
{
  if (!Fits(aBytes)) {
    return false;
  }
  if (aBytes > m_bytes) {
    m_memory.m_used += aBytes - m_bytes;
    m_bytes = aBytes;
  }
  return true;
}

} // namespace jaylane::gateway
