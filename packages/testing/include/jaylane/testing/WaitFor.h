#pragma once

#include <chrono>
#include <functional>

namespace jaylane::testing {

/// Polls until another thread or process makes a condition true.
/// @param aCondition evaluated every few milliseconds, and once more at the timeout.
/// @param aTimeout longest time to wait.
/// @return whether the condition became true.
bool WaitFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aTimeout);

} // namespace jaylane::testing
