#include "jaylane/policy/ConfirmedView.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

// Guards against a VM that takes its configuration for the newest although it has been cut off for
// longer than a change may take, or knows that it lacks one.
TEST(ConfirmedViewTest, OnlyRecentEvidenceConfirms)
{
  const base::MonotonicTime start{ 100s };
  ConfirmedView view(2500ms);
  EXPECT_FALSE(view.IsConfirmed(false, start));
  view.OnConfirmed(start);
  view.OnConfirmed(start - 10s);
  EXPECT_TRUE(view.IsConfirmed(false, start + 2500ms));
  EXPECT_FALSE(view.IsConfirmed(false, start + 2501ms));
  EXPECT_FALSE(view.IsConfirmed(true, start));
}

} // namespace
} // namespace jaylane::policy
