#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace jaylane::gateway {

/// Limits the bytes of requests and responses that the process holds at the same time. Bodies are
/// buffered whole, so that a request can be retried and a truncated response is never passed on;
/// without the limit many large bodies would exhaust the memory. What does not fit takes the place
/// of the largest one that may be evicted and has stalled, or else of the largest one that may be
/// evicted and is larger, because that one may have no end. Used by the request thread only.
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

    /// Releases what the reservation has above a number of bytes.
    void ShrinkTo(std::uint64_t aBytes);

    /// @return whether a body of that size would fit now without evicting others.
    bool Fits(std::uint64_t aBytes) const;

    /// Evicts bodies that have stalled, the largest first, until a body of that size fits; none if
    /// that would not suffice.
    /// @return whether it fits.
    bool EvictStalledFor(std::uint64_t aBytes);

    /// @param aIsStalled whether no bytes of the body have arrived for some time. It is then
    /// evicted
    ///        before others, also for a smaller one. Cleared when the reservation grows.
    void SetStalled(bool aIsStalled) { m_isStalled = aIsStalled; }

    /// Allows to evict the body. Its bytes are released before the call.
    /// @param aOnEvicted releases the memory; empty: the body may no longer be evicted.
    void SetEvictable(std::function<void()> aOnEvicted);

  private:
    friend class BodyMemoryBudget;

    BodyMemoryBudget& m_budget;
    std::uint64_t m_bytes = 0;
    bool m_isStalled = false;
    std::function<void()> m_onEvicted;
  };

  /// @param aLimit bytes of all bodies together.
  explicit BodyMemoryBudget(std::uint64_t aLimit)
    : m_limit(aLimit)
  {
  }

  std::shared_ptr<Reservation> MakeReservation() { return std::make_shared<Reservation>(*this); }
  std::uint64_t Used() const { return m_used; }
  /// @return number of bodies evicted since the start.
  std::uint64_t Evictions() const { return m_evictions; }

private:
  /// Evicts the largest body that has stalled, other than the given one.
  /// @return whether there was one.
  bool EvictStalled(const Reservation& aFor);
  /// Evicts the largest body that has more than a number of bytes.
  /// @return whether there was one.
  bool EvictLargerThan(std::uint64_t aBytes);
  void Evict(Reservation& aEvicted);

  std::uint64_t m_limit;
  std::uint64_t m_used = 0;
  std::uint64_t m_evictions = 0;
  std::unordered_set<Reservation*> m_evictable;
};

} // namespace jaylane::gateway
