#include "Deployment.h"

#include "jaylane/base/SocketAddress.h"
#include "jaylane/testing/HttpCall.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jaylane::testing {
namespace {

constexpr int kReplyMillis = 5000;
constexpr std::chrono::milliseconds kTimeout{ 5000 };

/// A bare connection, for input that no HTTP library would send.
class RawClient
{
public:
  explicit RawClient(const std::string& aAddress)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    const sockaddr_in address = base::SocketAddress::Parse(aAddress)->ToSockaddr();
    connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
  ~RawClient() { close(m_socket); }

  void Send(const std::string& aText) const
  {
    send(m_socket, aText.data(), aText.size(), MSG_NOSIGNAL);
  }

  /// @return start of the response; empty if the connection was closed or stays silent.
  std::string Reply() const
  {
    pollfd waiting{ m_socket, POLLIN, 0 };
    char block[4096];
    const ssize_t size =
      poll(&waiting, 1, kReplyMillis) > 0 ? recv(m_socket, block, sizeof(block), 0) : 0;
    return size > 0 ? std::string(block, static_cast<std::size_t>(size)) : std::string();
  }

private:
  const int m_socket;
};

std::string StatusOf(const std::string& aAddress, const std::string& aText)
{
  const RawClient client(aAddress);
  client.Send(aText);
  const std::string reply = client.Reply();
  return reply.compare(0, 9, "HTTP/1.1 ") == 0 ? reply.substr(9, 3) : "closed";
}

// Guards against malformed, oversized or unfinished input on any port that ends the VM or keeps it
// from serving others.
TEST(Input, BadInputOnEachPortLeavesTheVmServing)
{
  const auto scenario = StartSmall(SmallPlan{});
  ASSERT_TRUE(scenario);
  const std::string id = scenario->EntryVms().front();
  const platform::VmEntry vm = *scenario->Deployment().FindVm(id);
  // Left open and unfinished until the end of the test.
  std::vector<std::unique_ptr<RawClient>> unfinished;
  for (const std::string& address : { vm.m_address, vm.m_peerAddress, vm.m_adminAddress }) {
    const std::string status = StatusOf(address, "\x16\x03\x01 no http\r\n\r\n");
    EXPECT_TRUE(status == "400" || status == "closed") << address << " " << status;
    const std::string large = "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'x') + "\r\n\r\n";
    const std::string tooLarge = StatusOf(address, large);
    EXPECT_TRUE(tooLarge == "431" || tooLarge == "413" || tooLarge == "closed") << tooLarge;
    for (int i = 0; i < 20; ++i) {
      unfinished.push_back(std::make_unique<RawClient>(address));
      unfinished.back()->Send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n");
    }
  }
  const std::string rpc = "POST /rpc HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
  EXPECT_EQ(StatusOf(vm.m_peerAddress, rpc), "403");
  EXPECT_EQ(StatusOf(vm.m_adminAddress, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"), "401");
  EXPECT_EQ(StatusOf(vm.m_address, "GET /v1/settings HTTP/1.1\r\nHost: x\r\n\r\n"), "404");
  const std::string nested(4000, '[');
  const auto edit = scenario->AdminPost(id, "/v1/edits", Json::Value(nested));
  ASSERT_TRUE(edit);
  EXPECT_EQ(edit->m_status, 400);
  EXPECT_TRUE(scenario->IsServing(id));
  EXPECT_TRUE(scenario->AdminGet(id, "/v1/status"));
  EXPECT_TRUE(scenario->Deployment().FindProcess(id)->Running());
}

} // namespace
} // namespace jaylane::testing
