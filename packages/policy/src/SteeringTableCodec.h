#pragma once

#include "jaylane/policy/SteeringTable.h"

#include <json/value.h>

namespace jaylane::policy {

/// Converts tables to and from JSON. Assignments are run-length encoded as "<site>*<count> ...",
/// with "p" for a split bucket, whose parts follow in the member "parts". These strings take a
/// tenth of the size and parse time of arrays of numbers.
class SteeringTableCodec
{
public:
  static Json::Value Encode(const SteeringTable& aTable);

  /// @return false if the value is not a valid table, in which case aTable is unspecified.
  static bool Decode(const Json::Value& aJson, SteeringTable& aTable);

private:
  static bool DecodeHeader(const Json::Value& aJson, SteeringTable& aTable);
  static bool DecodeBuckets(const Json::Value& aJson, SteeringTable& aTable);
  static bool DecodeMoves(const Json::Value& aJson, SteeringTable& aTable);
};

} // namespace jaylane::policy
