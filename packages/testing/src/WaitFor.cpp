#include "jaylane/testing/WaitFor.h"

#include <thread>

namespace jaylane::testing {

bool WaitFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aTimeout)
{
  constexpr std::chrono::milliseconds kPollInterval{ 3 };
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return aCondition();
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace jaylane::testing
