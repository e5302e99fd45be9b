#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace jaylane::gateway {

/// Limits the bytes of request and response bodies that the process buffers at the same time.
/// Bodies are buffered whole, so that a request can be retried and a truncated response is never
/// passed on; without the limit many large bodies would exhaust the memory. A body that does not
/// fit takes the place of the largest one that may be evicted and is larger, because that one may
/// have no end. Used by the request thread only.
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
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// @param aBytes size of the part of the body received so far.
    /// @return whether the budget allows it; if not, the reservation is unchanged.
    bool GrowTo(std::uint64_t aBytes);

    /// @return whether a body of that size would fit now without evicting others.
    bool Fits(std::uint64_t aBytes) const;

    /// Allows to evict the body. Its bytes are released before the call.
    /// @param aOnEvicted releases the memory; empty: the body may no longer be evicted.
    void SetEvictable(std::function<void()> aOnEvicted);

  private:
    friend class BodyMemoryBudget;

    BodyMemoryBudget& m_budget;
    std::uint64_t m_bytes = 0;
    std::function<void()> m_onEvicted;
  };

  /// @param aLimit bytes of all bodies together.
  explicit BodyMemoryBudget(std::uint64_t aLimit)
    : m_limit(aLimit)
  {
  }

  std::shared_ptr<Reservation> MakeReservation() { return std::make_shared<Reservation>(*this); }
  std::uint64_t Used() const { return m_used; }

private:
  /// Evicts the largest body that has more than a number of bytes.
  /// @return whether there was one.
  bool EvictLargerThan(std::uint64_t aBytes);

  std::uint64_t m_limit;
  std::uint64_t m_used = 0;
  std::unordered_set<Reservation*> m_evictable;
};

} // namespace jaylane::gateway
