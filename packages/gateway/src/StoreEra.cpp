#include "StoreEra.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace jaylane::gateway {

StoreEra::StoreEra(const StoreDialect& aDialect, base::AsyncLog& aLog, OnRestored aOnRestored)
  : m_dialect(aDialect)
  , m_log(aLog)
  , m_onRestored(std::move(aOnRestored))
{
}

std::uint64_t StoreEra::Observe(const FetchResponse& aResponse)
{
  const auto value = aResponse.m_fields[m_dialect.EraHeader()];
  const std::string_view text(value.data(), value.size());
  std::uint64_t era = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), era);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return Current();
  }
  Advance(era, "store");
  return era;
}

void StoreEra::Advance(std::uint64_t aEra, const char* aSource)
{
  if (m_era && aEra <= *m_era) {
    return;
  }
  const std::optional<std::uint64_t> previous = std::exchange(m_era, aEra);
  if (!previous) {
    return;
  }
  m_log.Write(base::LogRecord("store_restored")
                .Add("previous_era", *previous)
                .Add("era", aEra)
                .Add("source", aSource));
  m_onRestored(aEra);
}

} // namespace jaylane::gateway
