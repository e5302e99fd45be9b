#pragma once

#include "Outcome.h"
#include "jaylane/policy/RetryBudget.h"
#include "jaylane/policy/UpstreamSelector.h"
#include "jaylane/proxy/UpstreamTransport.h"
#include "jaylane/settings/EffectiveSettings.h"

namespace jaylane::entry {

/// @return options of upstream selection as configured.
policy::UpstreamSelectorOptions SelectorOptions(const settings::EffectiveSettings& aSettings);

/// @return options of the retry budget as configured.
policy::RetryBudget::Options RetryOptions(const settings::EffectiveSettings& aSettings);

/// @return what the end of an attempt says about the upstream.
policy::DispatchResult ToDispatchResult(const proxy::AttemptOutcome& aOutcome);

/// @return whether the attempt proves that the upstream did not execute the request.
bool ProvenNotRun(proxy::AttemptResult aResult);

/// @param aOutcome end of the last attempt.
/// @param aMayHaveRun whether any attempt may have executed the request.
/// @return what the caller is told; upstream and number of attempts are left to fill in.
RequestResult ResultOf(const proxy::AttemptOutcome& aOutcome, bool aMayHaveRun);

} // namespace jaylane::entry
