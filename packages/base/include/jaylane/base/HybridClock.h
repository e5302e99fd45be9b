#pragma once

#include "jaylane/base/Clock.h"

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::base {

/// Time stamp of a hybrid logical clock: ordered by causality, close to wall time.
struct HybridStamp
{
  std::uint64_t m_millis = 0;
  std::uint32_t m_logical = 0;

  auto operator<=>(const HybridStamp&) const = default;

  /// @return "<millis>.<logical>", the form used in messages.
  std::string ToString() const;

  /// @param aText form written by ToString().
  /// @return the stamp, or nothing if the text is malformed.
  static std::optional<HybridStamp> Parse(std::string_view aText);
};

/// Hybrid logical clock of a process. Thread safe.
class HybridClock
{
public:
  /// A stamp this far ahead of local time is ignored, so that one wrong clock cannot
  /// drag the whole fleet forward.
  static constexpr std::chrono::minutes kMaxAhead{ 1 };

  /// @param aClock source of wall time; must outlive this.
  explicit HybridClock(const Clock& aClock);

  /// @return a stamp later than any returned or received before.
  HybridStamp Now();

  /// Takes note of a stamp received with a message.
  /// @param aRemote the sender's stamp.
  void Observe(const HybridStamp& aRemote);

private:
  std::uint64_t WallMillis() const;

  const Clock& m_clock;
  std::mutex m_mutex;
  HybridStamp m_last;
};

} // namespace jaylane::base
