#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/LoadObservation.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::gateway {

/// Most observations in one text; longer texts are not decoded.
constexpr std::size_t kMaxObservationsPerText = 64;

/// @return number of observations that fit into a text of a length in characters.
std::size_t ObservationsThatFit(std::size_t aLength);

/// Encodes observations as Base64 without padding, 10 bytes each. Leaves out those that are older
/// than 65 seconds.
std::string EncodeObservations(const std::vector<policy::LoadObservation>& aObservations,
                               base::MonotonicTime aNow);

/// @return empty if the text is not what EncodeObservations() writes.
std::optional<std::vector<policy::LoadObservation>> DecodeObservations(std::string_view aText,
                                                                       base::MonotonicTime aNow);

} // namespace jaylane::gateway
