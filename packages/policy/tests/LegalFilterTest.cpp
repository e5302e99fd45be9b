#include "jaylane/policy/LegalFilter.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr base::WallTime kNoon{ 1'700'000'000s };

// A region that any rule in force forbids must not be allowed, whatever the order of the rules and
// within the permitted clock error.
RC_GTEST_PROP(LegalFilter, NeverAllowsForbiddenRegion, ())
{
  const auto name = [](int aNumber) { return "r" + std::to_string(aNumber); };
  std::vector<LegalRule> rules;
  const auto seeds = *rc::gen::container<std::vector<std::uint32_t>>(
    *rc::gen::inRange(0, 8), rc::gen::inRange<std::uint32_t>(0, 0x7fff'ffff));
  for (const auto seed : seeds) {
    LegalRule rule{ "law", seed % 3 == 0 ? "" : "svc", "", {}, kNoon + seed / 64 % 100 * 1s };
    rule.m_service = seed % 5 == 0 ? "other" : rule.m_service;
    rule.m_origin = seed % 4 == 0 ? "" : name(seed / 4 % 3);
    for (int region = 0; region < 3; ++region) {
      if ((seed >> (20 + region) & 1) != 0) {
        rule.m_allowedRegions.push_back(name(region));
      }
    }
    rules.push_back(rule);
  }
  const LegalFilter filter("svc", rules, 2s);
  const auto now = kNoon + *rc::gen::inRange(0, 110) * 1s;
  const auto clockError = *rc::gen::inRange(-2000, 2001) * 1ms;
  for (int pair = 0; pair < 9; ++pair) {
    const auto origin = name(pair / 3);
    const auto region = name(pair % 3);
    const auto forbids = [&](const LegalRule& aRule) {
      return aRule.m_service != "other" && (aRule.m_origin.empty() || aRule.m_origin == origin) &&
             std::find(aRule.m_allowedRegions.begin(), aRule.m_allowedRegions.end(), region) ==
               aRule.m_allowedRegions.end();
    };
    const auto inForce = [&](const LegalRule& aRule) {
      return forbids(aRule) && aRule.m_effectiveAt <= now;
    };
    if (std::any_of(rules.begin(), rules.end(), inForce)) {
      RC_ASSERT(!filter.Allows(origin, region, now + clockError));
    }
    RC_ASSERT(filter.AllowsEventually(origin, region) ==
              std::none_of(rules.begin(), rules.end(), forbids));
  }
}

// A rule must not be applied earlier than its effective time minus the permitted clock error;
// otherwise permitted requests would be rejected.
TEST(LegalFilter, AppliesRuleOnlyFromItsEffectiveTime)
{
  const LegalRule rule{ "law-1", "svc", "r0", { "r1" }, kNoon };
  const LegalFilter filter("svc", { rule }, 2s);
  EXPECT_TRUE(filter.Allows("r0", "r2", kNoon - 3s));
  ASSERT_NE(filter.FindViolation("r0", "r2", kNoon - 2s), nullptr);
  EXPECT_EQ(filter.FindViolation("r0", "r2", kNoon)->m_id, "law-1");
  EXPECT_TRUE(filter.Allows("r0", "r1", kNoon));
  EXPECT_TRUE(filter.Allows("r1", "r2", kNoon));
}

} // namespace
} // namespace jaylane::policy
