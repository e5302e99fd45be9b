#include "jaylane/peer/PeerServer.h"

#include "jaylane/peer/PeerClient.h"
#include "jaylane/peer/PeerError.h"

#include <gtest/gtest.h>

namespace jaylane::peer {
namespace {

constexpr std::chrono::milliseconds kTimeout{ 5000 };

class PeerServerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    PeerHandlers handlers;
    handlers.m_exchange = [](const ExchangeMessage& aMessage) {
      ExchangeMessage response;
      response.m_generation = aMessage.m_generation + 1;
      return response;
    };
    handlers.m_probe = [](const ProbeRequest&) { return ProbeResponse{ true }; };
    handlers.m_borrow = [](const BorrowRequest&) { return BorrowResponse{}; };
    handlers.m_handover = [](const HandoverRequest&) { return HandoverResponse{ true }; };
    auto server = PeerServer::Make({ INADDR_LOOPBACK, 0 }, "secret", handlers);
    ASSERT_TRUE(server);
    m_server = std::move(*server);
  }

  std::unique_ptr<PeerServer> m_server;
};

// Guards against calls that do not reach the handlers or lose their result.
TEST_F(PeerServerTest, CallsReachTheHandlers)
{
  PeerClient client("secret");
  ExchangeMessage message;
  message.m_generation = 41;
  const auto response = client.Exchange(m_server->Address(), message, kTimeout);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_generation, 42u);
  EXPECT_TRUE(client.Probe(m_server->Address(), { "127.0.0.1:1" }, kTimeout)->m_reachable);
  EXPECT_TRUE(client.Handover(m_server->Address(), {}, kTimeout)->m_accepted);
  EXPECT_TRUE(client.Borrow(m_server->Address(), {}, kTimeout));
}

// Guards against serving callers that do not have the shared key.
TEST_F(PeerServerTest, RefusesAWrongKey)
{
  for (const char* key : { "wrong", "", "secret-and-more", "secre" }) {
    PeerClient client(key);
    EXPECT_FALSE(client.Probe(m_server->Address(), {}, kTimeout)) << key;
  }
}

// Guards against a stopped peer that blocks its callers or is reported as a refusal.
TEST_F(PeerServerTest, StoppedPeerYieldsNoResponse)
{
  const auto address = m_server->Address();
  m_server.reset();
  PeerClient client("secret");
  const auto response = client.Probe(address, {}, kTimeout);
  ASSERT_FALSE(response);
  EXPECT_EQ(response.GetError().m_code, PeerErrc::NoResponse);
}

} // namespace
} // namespace jaylane::peer
