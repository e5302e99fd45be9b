#pragma once

#include "jaylane/policy/ApiKeyTable.h"

#include <optional>
#include <string_view>

namespace jaylane::policy {

/// Whether a request may run, given the API key that its caller sent.
/// Load pattern: API keys are added and removed while requests run, and some VMs learn of that
/// late.
struct AccessDecision
{
  enum class Outcome
  {
    Allowed,
    /// The request must not run, and repeating it does not help.
    Unauthorized,
    /// The request must not run on this VM now; its key may be one that this VM does not know yet.
    Unavailable,
  };

  Outcome m_outcome = Outcome::Unavailable;
  /// Team of the caller if the request is allowed; null if no key is needed.
  const Team* m_team = nullptr;

  /// @param aKeys the keys of the configuration in force; null if it has no teams.
  /// @param aRoute route of the request.
  /// @param aKey API key of the request; empty if it has none or a malformed one.
  /// @param aIsConfirmed whether the configuration was the newest within the time allowed for a
  ///   change. Otherwise an unknown key may have been added, and callers do not repeat a request
  ///   that was answered as unauthorized.
  static AccessDecision Make(const ApiKeyTable* aKeys,
                             const Route& aRoute,
                             std::optional<std::string_view> aKey,
                             bool aIsConfirmed);
};

} // namespace jaylane::policy
