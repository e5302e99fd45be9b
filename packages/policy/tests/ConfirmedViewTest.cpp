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

// Guards against acting on a configuration that may have been replaced for longer than a change may
// take, and against rejecting requests because the store is out of service for all VMs.
TEST(ConfirmedViewTest, AViewIsUsableForLessThanAChangeMayTake)
{
  const base::MonotonicTime start{ 100s };
  ConfirmedView view(2400ms);
  EXPECT_EQ(view.UsableUntil({}), std::nullopt);
  view.OnConfirmed(start);
  EXPECT_EQ(view.UsableUntil({}), start + 1800ms);
  view.OnMostZonesHeard(start + 9s);
  view.OnMostZonesHeard(start + 8s);
  EXPECT_EQ(view.UsableUntil({}), start + 9s + 1800ms);
  EXPECT_FALSE(view.IsConfirmed(false, start + 9s)) << "needs the store's word";
  EXPECT_EQ(view.UsableUntil(start + 9s), start + 9s + 600ms) << "a change is known to be missing";
  EXPECT_EQ(view.UsableUntil(start + 20s), start + 9s + 1800ms);
}

} // namespace
} // namespace jaylane::policy
