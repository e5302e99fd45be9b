#pragma once

#include "HttpFetch.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/gateway/StoreDialect.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace jaylane::gateway {

/// Newest era of the store that this VM has learned of, see policy::StoreRevision. Not thread safe.
class StoreEra
{
public:
  /// The store has returned from an older copy of its contents, which began an era.
  using OnRestored = std::function<void(std::uint64_t aEra)>;

  /// @param aOnRestored called once an era, before anything that belongs to it is used; not for
  ///   the first one that this VM learns of.
  StoreEra(const StoreDialect& aDialect, base::AsyncLog& aLog, OnRestored aOnRestored);

  /// Reads the era from a response of the store, which may be an error.
  /// @return the era that the response belongs to; the present one if the response names none.
  std::uint64_t Observe(const FetchResponse& aResponse);

  /// A peer has sent objects of an era.
  void ObserveAtPeer(std::uint64_t aEra) { Advance(aEra, "peer"); }

  std::uint64_t Current() const { return m_era.value_or(policy::StoreRevision::kImpliedEra); }

private:
  /// @param aSource "store" or "peer".
  void Advance(std::uint64_t aEra, const char* aSource);

  const StoreDialect& m_dialect;
  base::AsyncLog& m_log;
  OnRestored m_onRestored;
  std::optional<std::uint64_t> m_era;
};

} // namespace jaylane::gateway
