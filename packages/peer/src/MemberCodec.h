#pragma once

#include "jaylane/peer/Messages.h"

#include <json/value.h>
#include <optional>

namespace jaylane::peer {

/// Writes a member as an object. A member without identity (MemberInfo::WithoutIdentity()) is
/// written in a compact form: an array [incarnation, heartbeat, scope], followed by leaving,
/// inherited and load unless the VM is not leaving and the other two are empty. In the compact form
/// a scope that starts with the incarnation is written without it.
Json::Value EncodeMember(const MemberInfo& aMember);

/// @return the member, or nothing if the JSON is in neither of the forms that EncodeMember()
/// writes.
std::optional<MemberInfo> DecodeMember(const Json::Value& aJson);

} // namespace jaylane::peer
