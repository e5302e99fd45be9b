#pragma once

#include <compare>
#include <cstdint>

namespace jaylane::policy {

/// Position in the history of the platform's store.
///
/// The store may return from an older copy of its contents. It then gives out the revision numbers
/// since the copy once more, so that a number alone does not tell which of two states is newer.
/// Each return begins a new era, and whatever belongs to a later era is newer.
class StoreRevision
{
public:
  /// Era of a store, and of a message between VMs, that names none. Messages leave it out, so that
  /// they do not grow before the first return.
  static constexpr std::uint64_t kImpliedEra = 1;

  /// Precedes all others.
  constexpr StoreRevision() = default;

  /// @param aNumber revision number that the store has given out; 0 before the first one.
  /// @param aEra number of the era.
  constexpr StoreRevision(std::uint64_t aNumber, std::uint64_t aEra = kImpliedEra)
    : m_era(aNumber == 0 ? 0 : aEra)
    , m_number(aNumber)
  {
  }

  constexpr std::uint64_t Number() const { return m_number; }
  constexpr std::uint64_t Era() const { return m_era; }

  /// @return the same number in another era.
  constexpr StoreRevision InEra(std::uint64_t aEra) const { return { m_number, aEra }; }

  friend constexpr auto operator<=>(const StoreRevision&, const StoreRevision&) = default;

private:
  // The order of the members is that of the comparison.
  std::uint64_t m_era = 0;
  std::uint64_t m_number = 0;
};

} // namespace jaylane::policy
