#include "ListenRetry.h"

#include "Listen.h"
#include "SocketOptions.h"
#include "TestStore.h"

#include <gtest/gtest.h>
#include <optional>
#include <stdexcept>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

class ListenRetryTest : public testing::Test
{
protected:
  ListenRetry::Attempt Bind(const std::string& aAddress)
  {
    return [this, aAddress] {
      ++m_attempts;
      return ListenOn(m_acceptor, aAddress);
    };
  }

  /// Starts with a limit of 300 ms and keeps the final error.
  base::Status Start(ListenRetry::Attempt aAttempt)
  {
    return m_retry.Start(std::move(aAttempt), [this](const base::Error& aError) {
      m_failure = aError;
      m_io.stop();
    });
  }

  boost::asio::io_context m_io;
  tcp::acceptor m_acceptor{ m_io };
  tcp::acceptor m_other{ m_io };
  base::AsyncLog m_log{ "vm", base::SystemClock::Get(), { 64, 1000, [](std::string_view) {} } };
  ListenRetry m_retry{ m_io, base::SystemClock::Get(), m_log, "callers", { 10ms, 300ms, 100ms } };
  int m_attempts = 0;
  std::optional<base::Error> m_failure;
};

// Guards against waiting without end for an address that stays busy, and against an error that
// does not say what was wrong.
TEST_F(ListenRetryTest, AnAddressThatStaysBusyIsAnErrorAfterTheLimit)
{
  const std::string address = FreeAddress();
  ASSERT_TRUE(ListenOn(m_other, address));
  const auto start = std::chrono::steady_clock::now();
  ASSERT_TRUE(Start(Bind(address)));
  m_io.run_for(3s);
  ASSERT_TRUE(m_failure);
  EXPECT_GE(std::chrono::steady_clock::now() - start, 300ms);
  EXPECT_GT(m_attempts, 5);
  const std::string message = m_failure->Message();
  for (const std::string& part : { std::string{ "callers" }, address, std::string{ "in use" } }) {
    EXPECT_NE(message.find(part), std::string::npos) << message;
  }
}

// Guards against retries that continue after success, and against an acceptor that stays unusable
// after a failed attempt.
TEST_F(ListenRetryTest, ListensOnceTheAddressIsFree)
{
  const std::string address = FreeAddress();
  ASSERT_TRUE(ListenOn(m_other, address));
  ASSERT_TRUE(Start(Bind(address)));
  m_io.run_for(100ms);
  EXPECT_FALSE(m_acceptor.is_open());
  m_other.close();
  m_io.run_for(100ms);
  EXPECT_TRUE(m_acceptor.is_open());
  const int attempts = m_attempts;
  m_io.run_for(400ms);
  EXPECT_EQ(m_attempts, attempts);
  EXPECT_FALSE(m_failure);
}

// Guards against retries of what can never succeed, and against exceptions that leave the process
// without the listener and without an error.
TEST_F(ListenRetryTest, OtherErrorsAreFinal)
{
  const auto malformed = Start(Bind("localhost:1"));
  ASSERT_FALSE(malformed);
  EXPECT_EQ(malformed.GetError().m_code, GatewayErrc::ListenFailed);
  const auto thrown = Start([]() -> base::Status { throw std::runtime_error("no thread"); });
  ASSERT_FALSE(thrown);
  EXPECT_NE(thrown.GetError().Message().find("no thread"), std::string::npos);
}

// Guards against a port that cannot be listened on because an outgoing connection of this process
// or of its predecessor has it as its source port, open or in TIME_WAIT.
TEST_F(ListenRetryTest, OutgoingConnectionsKeepNoPortFromListeners)
{
  const std::string address = FreeAddress();
  ASSERT_TRUE(ListenOn(m_other, address));
  for (const bool isClosed : { false, true }) {
    tcp::socket outgoing(m_io);
    OpenForConnecting(outgoing, *ParseEndpoint(address));
    outgoing.connect(*ParseEndpoint(address));
    tcp::socket accepted = m_other.accept();
    const auto local = outgoing.local_endpoint();
    if (isClosed) {
      outgoing.close();
      accepted.close();
    }
    tcp::acceptor listener(m_io);
    const auto status = ListenOn(listener, "127.0.0.1:" + std::to_string(local.port()));
    EXPECT_TRUE(status) << "closed: " << isClosed << ", " << status.GetError().Message();
  }
}

} // namespace
} // namespace jaylane::gateway
