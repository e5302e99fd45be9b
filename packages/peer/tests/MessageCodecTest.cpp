#include "jaylane/peer/MessageCodec.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::peer {
namespace {

ExchangeMessage MakeExchange()
{
  ExchangeMessage message;
  message.m_stamp = "1.2";
  message.m_generation = 42;
  message.m_settings = "{}";
  message.m_shares = { 7, "table" };
  message.m_members.push_back(
    { "vm", "inc", "r", "z", "127.0.0.1:1", "scope", 9, true, { "old" }, "load" });
  message.m_strikes.push_back(
    { { ~0ull, 1 }, 2, 3, std::chrono::milliseconds{ 4 }, true, true, 5 });
  return message;
}

// Guards against fields that are lost or changed on the way to a peer.
TEST(MessageCodec, ExchangeRoundTrips)
{
  const ExchangeMessage message = MakeExchange();
  const auto decoded = Decode<ExchangeMessage>(Encode(message));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->m_members, message.m_members);
  EXPECT_EQ(decoded->m_strikes, message.m_strikes);
  EXPECT_EQ(decoded->m_shares, message.m_shares);
  EXPECT_EQ(decoded->m_settings, message.m_settings);
  EXPECT_EQ(decoded->m_generation, message.m_generation);
}

// Guards against fields that are lost or changed in the compact form, with and without its optional
// fields.
TEST(MessageCodec, MembersWithoutIdentityRoundTrip)
{
  const MemberInfo whole{ "vm", "inc", "r", "z", "127.0.0.1:1", "inc-3", 9, false, {}, "" };
  MemberInfo leaving = whole;
  leaving.m_leaving = true;
  leaving.m_inherited = { "old", "older" };
  leaving.m_load = "load";
  MemberInfo foreign = whole;
  foreign.m_scope = "other-3";
  ExchangeMessage message;
  for (const MemberInfo& member : { whole, leaving, foreign }) {
    message.m_members.push_back(member);
    message.m_members.push_back(member.WithoutIdentity());
  }
  const auto decoded = Decode<ExchangeMessage>(Encode(message));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->m_members, message.m_members);
}

// Guards against a malformed compact form that is taken for a valid one.
TEST(MessageCodec, MalformedCompactMembersAreRejected)
{
  ExchangeMessage message;
  message.m_members.push_back({ "", "inc", "", "", "", "inc-3", 9, true, { "old" }, "load" });
  const Json::Value whole = Encode(message);
  for (Json::ArrayIndex i = 0; i < whole["members"][0].size(); ++i) {
    Json::Value damaged(whole);
    damaged["members"][0][i] = Json::nullValue;
    EXPECT_FALSE(Decode<ExchangeMessage>(damaged)) << i;
  }
  Json::Value cut(whole);
  cut["members"][0].resize(4);
  EXPECT_FALSE(Decode<ExchangeMessage>(cut));
}

// Guards against keys whose state changes in a handover message, which could let a request run
// twice.
RC_GTEST_PROP(MessageCodec, HandoverRoundTrips, (std::uint64_t aHigh, std::uint64_t aLow))
{
  HandoverRequest request;
  request.m_transfer.m_recipient = { aHigh, aLow };
  request.m_transfer.m_exporter = { aLow, aHigh };
  request.m_transfer.m_epochs.push_back({ { { aLow, aHigh }, 3 },
                                          std::chrono::milliseconds{ 500 },
                                          true,
                                          { { "nonce", { policy::KeyState::Completed, 201 } } } });
  const auto decoded = Decode<HandoverRequest>(Encode(request));
  RC_ASSERT(static_cast<bool>(decoded));
  RC_ASSERT(decoded->m_transfer.m_recipient == request.m_transfer.m_recipient);
  const auto& epoch = decoded->m_transfer.m_epochs.at(0);
  RC_ASSERT(epoch.m_scope == request.m_transfer.m_epochs[0].m_scope);
  RC_ASSERT(epoch.m_closed);
  RC_ASSERT(epoch.m_keys.at(0).m_record == request.m_transfer.m_epochs[0].m_keys[0].m_record);
}

// Guards against a malformed message of a faulty peer that is taken for a valid one.
TEST(MessageCodec, EveryFieldIsRequired)
{
  const Json::Value whole = Encode(MakeExchange());
  for (const std::string& name : whole.getMemberNames()) {
    Json::Value damaged(whole);
    damaged[name] = Json::nullValue;
    EXPECT_FALSE(Decode<ExchangeMessage>(damaged)) << name;
  }
  EXPECT_FALSE(Decode<ExchangeMessage>(Json::Value("text")));
  EXPECT_FALSE(Decode<BorrowRequest>(Json::Value(Json::arrayValue)));
}

} // namespace
} // namespace jaylane::peer
