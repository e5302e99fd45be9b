#pragma once

#include "jaylane/base/Clock.h"

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::base {

/// Timestamp of a hybrid logical clock: consistent with causality and close to wall time.
struct HybridStamp
{
  /// Milliseconds since the Unix epoch.
  std::uint64_t m_millis = 0;
  /// Orders stamps with the same milliseconds.
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
  /// Received stamps that are further ahead of local time are ignored, so that one VM with a wrong
  /// clock cannot advance the clocks of all others.
  static constexpr std::chrono::minutes kMaxAhead{ 1 };

  /// @param aClock source of wall time; must outlive this.
  explicit HybridClock(const Clock& aClock);

  /// @return a stamp later than any that was returned before or received and not ignored.
  HybridStamp Now();

  /// Advances the clock to at least the stamp of a received message.
  /// @param aRemote the sender's stamp.
  void Observe(const HybridStamp& aRemote);

private:
  std::uint64_t WallMillis() const;

  const Clock& m_clock;
  std::mutex m_mutex;
  HybridStamp m_last;
};

} // namespace jaylane::base
