#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/peer/Messages.h"

#include <json/value.h>

namespace jaylane::peer {

/// @name JSON encoding of the peer messages
/// Encode() never fails. Decode() returns Malformed for JSON that lacks a field or has one of the
/// wrong type.
/// @{
Json::Value Encode(const ExchangeMessage& aMessage);
Json::Value Encode(const ProbeRequest& aMessage);
Json::Value Encode(const ProbeResponse& aMessage);
Json::Value Encode(const BorrowRequest& aMessage);
Json::Value Encode(const BorrowResponse& aMessage);
Json::Value Encode(const HandoverRequest& aMessage);
Json::Value Encode(const HandoverResponse& aMessage);

/// @tparam Message one of the types above.
template<typename Message>
base::Result<Message> Decode(const Json::Value& aJson);
/// @}

} // namespace jaylane::peer
