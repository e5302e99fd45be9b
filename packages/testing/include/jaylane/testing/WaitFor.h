#pragma once

#include <chrono>
#include <functional>

namespace jaylane::testing {

/// Waits for a condition of another thread or process that cannot be notified of.
/// @param aCondition checked every few milliseconds and at the end.
/// @param aTimeout longest wait.
/// @return whether the condition became true.
bool WaitFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aTimeout);

} // namespace jaylane::testing
