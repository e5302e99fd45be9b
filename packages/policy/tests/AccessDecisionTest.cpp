#include "jaylane/policy/AccessDecision.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using Outcome = AccessDecision::Outcome;

// Guards against requests without a valid key that run, against a 401 for a key that may have been
// added, and against a key that public routes need.
TEST(AccessDecisionTest, ARequestNeedsTheKeyOfATeamUnlessItsRouteIsPublic)
{
  Configuration configuration;
  configuration.m_teams.emplace(1).front().m_apiKeys = { "key" };
  const ApiKeyTable keys(configuration);
  const Route route;
  Route open;
  open.m_isPublic = true;
  const AccessDecision known = AccessDecision::Make(&keys, route, "key", false);
  EXPECT_EQ(known.m_outcome, Outcome::Allowed);
  EXPECT_EQ(known.m_team, &configuration.m_teams->front());
  EXPECT_EQ(AccessDecision::Make(&keys, route, "no", true).m_outcome, Outcome::Unauthorized);
  EXPECT_EQ(AccessDecision::Make(&keys, route, {}, true).m_outcome, Outcome::Unauthorized);
  EXPECT_EQ(AccessDecision::Make(&keys, route, "no", false).m_outcome, Outcome::Unavailable);
  for (const AccessDecision& decision : { AccessDecision::Make(&keys, open, "key", true),
                                          AccessDecision::Make(nullptr, route, {}, false) }) {
    EXPECT_EQ(decision.m_outcome, Outcome::Allowed);
    EXPECT_EQ(decision.m_team, nullptr);
  }
}

} // namespace
} // namespace jaylane::policy
