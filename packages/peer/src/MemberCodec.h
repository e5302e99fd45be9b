#pragma once

#include "jaylane/peer/Messages.h"

#include <json/value.h>
#include <optional>

namespace jaylane::peer {

/// An object for a member with its identity. For one without (MemberInfo::WithoutIdentity()) an
/// array [incarnation, heartbeat, scope], followed by [leaving, inherited, load] unless all three
/// are empty. A scope that starts with the incarnation is written without it.
Json::Value EncodeMember(const MemberInfo& aMember);

/// @return the member, or nothing for JSON that EncodeMember() does not write.
std::optional<MemberInfo> DecodeMember(const Json::Value& aJson);

} // namespace jaylane::peer
