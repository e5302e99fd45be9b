#include "jaylane/base/HybridClock.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace jaylane::base {

std::string HybridStamp::ToString() const
{
  return fmt::format("{}.{}", m_millis, m_logical);
}

std::optional<HybridStamp> HybridStamp::Parse(std::string_view aText)
{
  HybridStamp stamp;
  const char* const last = aText.data() + aText.size();
  const auto millis = std::from_chars(aText.data(), last, stamp.m_millis);
  if (millis.ec != std::errc{} || millis.ptr == last || *millis.ptr != '.') {
    return std::nullopt;
  }
  const auto logical = std::from_chars(millis.ptr + 1, last, stamp.m_logical);
  if (logical.ec != std::errc{} || logical.ptr != last) {
    return std::nullopt;
  }
  return stamp;
}

HybridClock::HybridClock(const Clock& aClock)
  : m_clock(aClock)
{
}

std::uint64_t HybridClock::WallMillis() const
{
  const auto sinceEpoch = m_clock.Wall().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

HybridStamp HybridClock::Now()
{
  const std::uint64_t wall = WallMillis();
  std::lock_guard lock(m_mutex);
  if (wall > m_last.m_millis) {
    m_last = HybridStamp{ wall, 0 };
  } else {
    ++m_last.m_logical;
  }
  return m_last;
}

void HybridClock::Observe(const HybridStamp& aRemote)
{
  const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(kMaxAhead).count();
  if (aRemote.m_millis > WallMillis() + static_cast<std::uint64_t>(limit)) {
    return;
  }
  std::lock_guard lock(m_mutex);
  m_last = std::max(m_last, aRemote);
}

} // namespace jaylane::base
