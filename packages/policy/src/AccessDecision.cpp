#include "jaylane/policy/AccessDecision.h"

namespace jaylane::policy {

AccessDecision AccessDecision::Make(const ApiKeyTable* aKeys,
                                    const Route& aRoute,
                                    std::optional<std::string_view> aKey,
                                    bool aIsConfirmed)
{
  if (!aKeys || aRoute.m_isPublic) {
    return { Outcome::Allowed, nullptr };
  }
  if (const Team* team = aKey ? aKeys->Find(*aKey) : nullptr) {
    return { Outcome::Allowed, team };
  }
  // A newer configuration may make the route public as well, so that a missing key is no exception.
  return { aIsConfirmed ? Outcome::Unauthorized : Outcome::Unavailable, nullptr };
}

} // namespace jaylane::policy
