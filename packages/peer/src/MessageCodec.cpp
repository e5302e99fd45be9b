#include "jaylane/peer/MessageCodec.h"

#include "jaylane/peer/PeerError.h"

#include <charconv>
#include <fmt/format.h>

namespace jaylane::peer {

namespace {

/// Reads fields of a JSON object and remembers whether any of them had the wrong form.
class FieldReader
{
public:
  explicit FieldReader(const Json::Value& aJson)
    : m_json(aJson)
    , m_ok(aJson.isObject())
  {
  }

  std::string Text(const char* aName)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isString();
    return m_ok ? value.asString() : std::string();
  }

  std::uint64_t Number(const char* aName)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isUInt64();
    return m_ok ? value.asUInt64() : 0;
  }

  bool Flag(const char* aName)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isBool();
    return m_ok && value.asBool();
  }

  /// Reads a number written as hexadecimal text, since JSON numbers lose the low bits of large
  /// ones.
  std::uint64_t Hex(const char* aName)
  {
    const std::string text = Text(aName);
    std::uint64_t number = 0;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number, 16);
    m_ok = m_ok && parsed.ec == std::errc{} && parsed.ptr == last;
    return number;
  }

  template<typename Function>
  void Each(const char* aName, Function aFunction)
  {
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      FieldReader element(value[i]);
      aFunction(element);
      m_ok = element.m_ok;
    }
  }

  std::vector<std::string> Texts(const char* aName)
  {
    std::vector<std::string> texts;
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      m_ok = value[i].isString();
      texts.push_back(m_ok ? value[i].asString() : std::string());
    }
    return texts;
  }

  std::vector<std::uint64_t> Numbers(const char* aName)
  {
    std::vector<std::uint64_t> numbers;
    const Json::Value& value = Field(aName);
    m_ok = m_ok && value.isArray();
    for (Json::ArrayIndex i = 0; m_ok && i < value.size(); ++i) {
      m_ok = value[i].isUInt64();
      numbers.push_back(m_ok ? value[i].asUInt64() : 0);
    }
    return numbers;
  }

  template<typename Value>
  base::Result<Value> Finish(Value aValue) const
  {
    if (!m_ok) {
      return base::Error{ make_error_code(PeerErrc::Malformed), {} };
    }
    return aValue;
  }

  void Fail() { m_ok = false; }

private:
  const Json::Value& Field(const char* aName) const
  {
    return m_json.isObject() ? m_json[aName] : Json::Value::nullSingleton();
  }

  const Json::Value& m_json;
  bool m_ok;
};

std::string ToHex(std::uint64_t aNumber)
{
  return fmt::format("{:x}", aNumber);
}

template<typename List>
Json::Value ToArray(const List& aList)
{
  Json::Value array(Json::arrayValue);
  for (const auto& element : aList) {
    if constexpr (std::is_integral_v<std::decay_t<decltype(element)>>) {
      array.append(Json::UInt64(element));
    } else {
      array.append(element);
    }
  }
  return array;
}

Json::Value EncodeMember(const MemberInfo& aMember)
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
  json["inherited"] = ToArray(aMember.m_inherited);
  json["load"] = aMember.m_load;
  return json;
}

MemberInfo DecodeMember(FieldReader& aReader)
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

Json::Value EncodeStrike(const policy::Strike& aStrike)
{
  Json::Value json(Json::objectValue);
  json["high"] = ToHex(aStrike.m_fingerprint.m_high);
  json["low"] = ToHex(aStrike.m_fingerprint.m_low);
  json["id"] = ToHex(aStrike.m_id);
  json["upstream"] = ToHex(aStrike.m_upstream);
  json["remaining_ms"] = Json::UInt64(aStrike.m_remaining.count());
  json["correlated"] = aStrike.m_correlated;
  json["cleared"] = aStrike.m_cleared;
  return json;
}

policy::Strike DecodeStrike(FieldReader& aReader)
{
  policy::Strike strike;
  strike.m_fingerprint.m_high = aReader.Hex("high");
  strike.m_fingerprint.m_low = aReader.Hex("low");
  strike.m_id = aReader.Hex("id");
  strike.m_upstream = aReader.Hex("upstream");
  strike.m_remaining = std::chrono::milliseconds{ aReader.Number("remaining_ms") };
  strike.m_correlated = aReader.Flag("correlated");
  strike.m_cleared = aReader.Flag("cleared");
  return strike;
}

std::string ScopeText(const policy::Incarnation& aIncarnation)
{
  return policy::ExecutionScope{ aIncarnation, 0 }.ToString();
}

policy::ExecutionScope ReadScope(FieldReader& aReader, const char* aName)
{
  const auto scope = policy::ExecutionScope::Parse(aReader.Text(aName));
  if (!scope) {
    aReader.Fail();
    return {};
  }
  return *scope;
}

Json::Value EncodeEpoch(const policy::TransferredEpoch& aEpoch)
{
  Json::Value json(Json::objectValue);
  json["scope"] = aEpoch.m_scope.ToString();
  json["remaining_ms"] = Json::UInt64(aEpoch.m_remaining.count());
  json["closed"] = aEpoch.m_closed;
  json["keys"] = Json::arrayValue;
  for (const policy::TransferredKey& key : aEpoch.m_keys) {
    Json::Value entry(Json::objectValue);
    entry["nonce"] = key.m_nonce;
    entry["state"] = static_cast<Json::UInt>(key.m_record.m_state);
    entry["status"] = key.m_record.m_status;
    json["keys"].append(entry);
  }
  return json;
}

policy::TransferredEpoch DecodeEpoch(FieldReader& aReader)
{
  policy::TransferredEpoch epoch;
  epoch.m_scope = ReadScope(aReader, "scope");
  epoch.m_remaining = std::chrono::milliseconds{ aReader.Number("remaining_ms") };
  epoch.m_closed = aReader.Flag("closed");
  aReader.Each("keys", [&epoch](FieldReader& aKey) {
    policy::TransferredKey key;
    key.m_nonce = aKey.Text("nonce");
    const auto state = aKey.Number("state");
    if (state > static_cast<std::uint64_t>(policy::KeyState::Unknown)) {
      aKey.Fail();
    }
    key.m_record = { static_cast<policy::KeyState>(state),
                     static_cast<std::uint16_t>(aKey.Number("status")) };
    epoch.m_keys.push_back(std::move(key));
  });
  return epoch;
}

} // namespace

Json::Value Encode(const ExchangeMessage& aMessage)
{
  Json::Value json(Json::objectValue);
  json["stamp"] = aMessage.m_stamp;
  json["generation"] = Json::UInt64(aMessage.m_generation);
  json["settings"] = aMessage.m_settings;
  json["shares_version"] = Json::UInt64(aMessage.m_shares.m_version);
  json["shares"] = aMessage.m_shares.m_text;
  json["members"] = Json::arrayValue;
  for (const MemberInfo& member : aMessage.m_members) {
    json["members"].append(EncodeMember(member));
  }
  json["strikes"] = Json::arrayValue;
  for (const policy::Strike& strike : aMessage.m_strikes) {
    json["strikes"].append(EncodeStrike(strike));
  }
  return json;
}

template<>
base::Result<ExchangeMessage> Decode(const Json::Value& aJson)
{
  FieldReader reader(aJson);
  ExchangeMessage message;
  message.m_stamp = reader.Text("stamp");
  message.m_generation = reader.Number("generation");
  message.m_settings = reader.Text("settings");
  message.m_shares = { reader.Number("shares_version"), reader.Text("shares") };
  reader.Each("members",
              [&message](FieldReader& aMember) { message.m_members.push_back(DecodeMember(aMember)); });
  reader.Each("strikes",
              [&message](FieldReader& aStrike) { message.m_strikes.push_back(DecodeStrike(aStrike)); });
  return reader.Finish(std::move(message));
}

Json::Value Encode(const ProbeRequest& aMessage)
{
  Json::Value json(Json::objectValue);
  json["address"] = aMessage.m_peerAddress;
  return json;
}

template<>
base::Result<ProbeRequest> Decode(const Json::Value& aJson)
{
  FieldReader reader(aJson);
  ProbeRequest message{ reader.Text("address") };
  return reader.Finish(std::move(message));
}

Json::Value Encode(const ProbeResponse& aMessage)
{
  Json::Value json(Json::objectValue);
  json["reachable"] = aMessage.m_reachable;
  return json;
}

template<>
base::Result<ProbeResponse> Decode(const Json::Value& aJson)
{
  FieldReader reader(aJson);
  const ProbeResponse message{ reader.Flag("reachable") };
  return reader.Finish(message);
}

Json::Value Encode(const BorrowRequest& aMessage)
{
  Json::Value json(Json::objectValue);
  json["id"] = Json::UInt64(aMessage.m_id);
  json["borrower"] = aMessage.m_borrower;
  json["upstream"] = aMessage.m_upstream;
  json["waiting"] = aMessage.m_waiting;
  json["amount"] = aMessage.m_amount;
  json["duration_ns"] = Json::UInt64(aMessage.m_duration.count());
  json["returned"] = ToArray(aMessage.m_returned);
  return json;
}

template<>
base::Result<BorrowRequest> Decode(const Json::Value& aJson)
{
  FieldReader reader(aJson);
  BorrowRequest message;
  message.m_id = reader.Number("id");
  message.m_borrower = reader.Text("borrower");
  message.m_upstream = reader.Text("upstream");
  message.m_waiting = static_cast<std::uint32_t>(reader.Number("waiting"));
  message.m_amount = static_cast<std::uint32_t>(reader.Number("amount"));
  message.m_duration = std::chrono::nanoseconds{ reader.Number("duration_ns") };
  message.m_returned = reader.Numbers("returned");
  return reader.Finish(std::move(message));
}

Json::Value Encode(const BorrowResponse& aMessage)
{
  Json::Value json(Json::objectValue);
  json["lender"] = aMessage.m_lender;
  json["leases"] = ToArray(aMessage.m_leases);
  json["duration_ns"] = Json::UInt64(aMessage.m_duration.count());
  return json;
}

template<>
base::Result<BorrowResponse> Decode(const Json::Value& aJson)
{
  FieldReader reader(aJson);
  BorrowResponse message;
  message.m_lender = reader.Text("lender");
  message.m_leases = reader.Numbers("leases");
  message.m_duration = std::chrono::nanoseconds{ reader.Number("duration_ns") };
  return reader.Finish(std::move(message));
}

Json::Value Encode(const HandoverRequest& aMessage)
{
  Json::Value json(Json::objectValue);
  json["recipient"] = ScopeText(aMessage.m_transfer.m_recipient);
  json["exporter"] = ScopeText(aMessage.m_transfer.m_exporter);
  json["epochs"] = Json::arrayValue;
  for (const policy::TransferredEpoch& epoch : aMessage.m_transfer.m_epochs) {
    json["epochs"].append(EncodeEpoch(epoch));
  }
  return json;
}

template<>
base::Result<HandoverRequest> Decode(const Json::Value& aJson)
{
  FieldReader reader(aJson);
  HandoverRequest message;
  message.m_transfer.m_recipient = ReadScope(reader, "recipient").m_incarnation;
  message.m_transfer.m_exporter = ReadScope(reader, "exporter").m_incarnation;
  reader.Each("epochs", [&message](FieldReader& aEpoch) {
    message.m_transfer.m_epochs.push_back(DecodeEpoch(aEpoch));
  });
  return reader.Finish(std::move(message));
}

Json::Value Encode(const HandoverResponse& aMessage)
{
  Json::Value json(Json::objectValue);
  json["accepted"] = aMessage.m_accepted;
  return json;
}

template<>
base::Result<HandoverResponse> Decode(const Json::Value& aJson)
{
  FieldReader reader(aJson);
  const HandoverResponse message{ reader.Flag("accepted") };
  return reader.Finish(message);
}

} // namespace jaylane::peer
