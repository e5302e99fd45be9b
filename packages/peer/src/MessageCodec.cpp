#include "jaylane/peer/MessageCodec.h"

#include "FieldReader.h"
#include "MemberCodec.h"

#include <algorithm>
#include <fmt/format.h>

namespace jaylane::peer {

namespace {

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

Json::Value EncodeStrike(const policy::Strike& aStrike)
{
  Json::Value json(Json::objectValue);
  json["high"] = ToHex(aStrike.m_fingerprint.m_high);
  json["low"] = ToHex(aStrike.m_fingerprint.m_low);
  json["id"] = ToHex(aStrike.m_id);
  json["upstream"] = ToHex(aStrike.m_upstream);
  json["remaining_ms"] = Json::UInt64(aStrike.m_remaining.count());
  json["correlated"] = aStrike.m_correlated;
  json["repeat"] = aStrike.m_isRepeat;
  // VMs of older versions read only whether there are any.
  json["cleared"] = aStrike.m_completions > 0;
  json["completions"] = Json::UInt64(aStrike.m_completions);
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
  strike.m_isRepeat = aReader.Has("repeat") && aReader.Flag("repeat");
  const std::uint64_t cleared = aReader.Flag("cleared") ? 1 : 0;
  strike.m_completions = static_cast<std::uint32_t>(
    std::min<std::uint64_t>(aReader.Has("completions") ? aReader.Number("completions") : cleared,
                            policy::QuarantineList::kMaxCompletions));
  return strike;
}

/// @return the scope of epoch 0 of the incarnation; messages use it for the incarnation alone.
std::string IncarnationText(const policy::Incarnation& aIncarnation)
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
  aReader.ForEachObject("keys", [&epoch](FieldReader& aKey) {
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
  reader.ForEachValue("members", [&message](const Json::Value& aJson) {
    const auto member = DecodeMember(aJson);
    if (member) {
      message.m_members.push_back(*member);
    }
    return member.has_value();
  });
  reader.ForEachObject("strikes", [&message](FieldReader& aStrike) {
    message.m_strikes.push_back(DecodeStrike(aStrike));
  });
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
  json["recipient"] = IncarnationText(aMessage.m_transfer.m_recipient);
  json["exporter"] = IncarnationText(aMessage.m_transfer.m_exporter);
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
  reader.ForEachObject("epochs", [&message](FieldReader& aEpoch) {
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
