#pragma once

namespace jaylane::policy::detail {

/// Moves an estimate towards a quantile of the samples. Unlike an average, it is not raised by a
/// few samples that are much larger than the rest.
/// @param aEstimate 0 before the first sample.
inline void TrackQuantile(double& aEstimate, double aSample, double aQuantile, double aAlpha)
{
  if (aEstimate == 0) {
    aEstimate = aSample;
  } else {
    aEstimate *= 1 + aAlpha * (aSample > aEstimate ? aQuantile : aQuantile - 1);
  }
}

} // namespace jaylane::policy::detail
