#pragma once

#include "Outcome.h"
#include "jaylane/policy/RetryBudget.h"
#include "jaylane/policy/UpstreamSelector.h"
#include "jaylane/proxy/UpstreamTransport.h"
#include "jaylane/settings/EffectiveSettings.h"

namespace jaylane::entry {

/// @return the configured options of upstream selection.
policy::UpstreamSelectorOptions MakeSelectorOptions(const settings::EffectiveSettings& aSettings);

/// @return the configured options of the retry budget.
policy::RetryBudget::Options MakeRetryOptions(const settings::EffectiveSettings& aSettings);

/// @return how upstream selection has to rate the attempt.
policy::OwnResult ToOwnResult(const proxy::AttemptOutcome& aOutcome);

/// @return whether the attempt proves that the upstream did not execute the request.
bool IsProvenNotRun(proxy::AttemptResult aResult);

/// @param aOutcome outcome of the last attempt.
/// @param aMayHaveRun whether any attempt may have executed the request.
/// @return the request's result, without upstream and number of attempts.
RequestResult ToRequestResult(const proxy::AttemptOutcome& aOutcome, bool aMayHaveRun);

} // namespace jaylane::entry
