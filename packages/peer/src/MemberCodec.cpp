#include "MemberCodec.h"

#include "FieldReader.h"

namespace jaylane::peer {

namespace {

// Lengths of the compact form, an array, without and with the optional fields.
constexpr Json::ArrayIndex kRequiredFields = 3;
constexpr Json::ArrayIndex kAllFields = 6;

Json::Value EncodeInherited(const MemberInfo& aMember)
{
  Json::Value array(Json::arrayValue);
  for (const std::string& incarnation : aMember.m_inherited) {
    array.append(incarnation);
  }
  return array;
}

Json::Value EncodeFull(const MemberInfo& aMember)
{
  Json::Value json(Json::objectValue);
  json["id"] = aMember.m_id;
  json["incarnation"] = aMember.m_incarnation;
  json["region"] = aMember.m_region;
  json["zone"] = aMember.m_zone;
  json["address"] = aMember.m_peerAddress;
  json["scope"] = aMember.m_scope;
  json["heartbeat"] = Json::UInt64(aMember.m_heartbeat);
  json["leaving"] = aMember.m_leaving;
  json["inherited"] = EncodeInherited(aMember);
  json["load"] = aMember.m_load;
  return json;
}

MemberInfo DecodeFull(FieldReader& aReader)
{
  MemberInfo member;
  member.m_id = aReader.Text("id");
  member.m_incarnation = aReader.Text("incarnation");
  member.m_region = aReader.Text("region");
  member.m_zone = aReader.Text("zone");
  member.m_peerAddress = aReader.Text("address");
  member.m_scope = aReader.Text("scope");
  member.m_heartbeat = aReader.Number("heartbeat");
  member.m_leaving = aReader.Flag("leaving");
  member.m_inherited = aReader.Texts("inherited");
  member.m_load = aReader.Text("load");
  return member;
}

Json::Value EncodeCompact(const MemberInfo& aMember)
{
  const std::string& incarnation = aMember.m_incarnation;
  const bool scopeHasIncarnation = aMember.m_scope.starts_with(incarnation + "-");
  Json::Value json(Json::arrayValue);
  json.append(incarnation);
  json.append(Json::UInt64(aMember.m_heartbeat));
  json.append(scopeHasIncarnation ? aMember.m_scope.substr(incarnation.size()) : aMember.m_scope);
  if (aMember.m_leaving || !aMember.m_inherited.empty() || !aMember.m_load.empty()) {
    json.append(aMember.m_leaving);
    json.append(EncodeInherited(aMember));
    json.append(aMember.m_load);
  }
  return json;
}

bool DecodeOptionalFields(const Json::Value& aJson, MemberInfo& aMember)
{
  if (!aJson[3].isBool() || !aJson[4].isArray() || !aJson[5].isString()) {
    return false;
  }
  aMember.m_leaving = aJson[3].asBool();
  aMember.m_load = aJson[5].asString();
  for (const Json::Value& incarnation : aJson[4]) {
    if (!incarnation.isString()) {
      return false;
    }
    aMember.m_inherited.push_back(incarnation.asString());
  }
  return true;
}

std::optional<MemberInfo> DecodeCompact(const Json::Value& aJson)
{
  if ((aJson.size() != kRequiredFields && aJson.size() != kAllFields) || !aJson[0].isString() ||
      !aJson[1].isUInt64() || !aJson[2].isString()) {
    return std::nullopt;
  }
  MemberInfo member;
  member.m_incarnation = aJson[0].asString();
  member.m_heartbeat = aJson[1].asUInt64();
  member.m_scope = aJson[2].asString();
  if (member.m_scope.starts_with('-')) {
    member.m_scope.insert(0, member.m_incarnation);
  }
  if (aJson.size() == kAllFields && !DecodeOptionalFields(aJson, member)) {
    return std::nullopt;
  }
  return member;
}

} // namespace

Json::Value EncodeMember(const MemberInfo& aMember)
{
  return aMember.m_id.empty() ? EncodeCompact(aMember) : EncodeFull(aMember);
}

std::optional<MemberInfo> DecodeMember(const Json::Value& aJson)
{
  if (aJson.isArray()) {
    return DecodeCompact(aJson);
  }
  FieldReader reader(aJson);
  const auto member = reader.Finish(DecodeFull(reader));
  return member ? std::optional(*member) : std::nullopt;
}

} // namespace jaylane::peer
