#include "Deployment.h"

#include "jaylane/base/SocketAddress.h"
#include "jaylane/testing/HttpCall.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jaylane::testing {
namespace {

constexpr int kResponseTimeoutMillis = 5000;
constexpr std::chrono::milliseconds kTimeout{ 5000 };

/// A TCP connection for input that an HTTP library would not send.
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

  /// @return start of the response; empty if the connection was closed or nothing arrived in time.
  std::string Response() const
  {
    pollfd waiting{ m_socket, POLLIN, 0 };
    char block[4096];
    const ssize_t size =
      poll(&waiting, 1, kResponseTimeoutMillis) > 0 ? recv(m_socket, block, sizeof(block), 0) : 0;
    return size > 0 ? std::string(block, static_cast<std::size_t>(size)) : std::string();
  }

private:
  const int m_socket;
};

/// Sends the text over a connection of its own.
/// @return status code of the response, or "closed" if there was no HTTP response.
std::string SendForStatus(const std::string& aAddress, const std::string& aText)
{
  const RawClient client(aAddress);
  client.Send(aText);
  const std::string response = client.Response();
  return response.compare(0, 9, "HTTP/1.1 ") == 0 ? response.substr(9, 3) : "closed";
}

// Guards against malformed, oversized or unfinished input on any port that crashes the entry VM or
// keeps it from serving others.
TEST(Input, BadInputOnEachPortLeavesTheVmServing)
{
  const auto scenario = StartTestDeployment(TestDeploymentOptions{});
  ASSERT_TRUE(scenario);
  const std::string id = scenario->EntryVms().front();
  const platform::VmEntry vm = *scenario->Deployment().FindVm(id);
  // Requests that stay incomplete, on connections that stay open until the end of the test.
  std::vector<std::unique_ptr<RawClient>> unfinished;
  for (const std::string& address : { vm.m_address, vm.m_peerAddress, vm.m_adminAddress }) {
    const std::string status = SendForStatus(address, "\x16\x03\x01 no http\r\n\r\n");
    EXPECT_TRUE(status == "400" || status == "closed") << address << " " << status;
    const std::string large = "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'x') + "\r\n\r\n";
    const std::string tooLarge = SendForStatus(address, large);
    EXPECT_TRUE(tooLarge == "431" || tooLarge == "413" || tooLarge == "closed") << tooLarge;
    for (int i = 0; i < 20; ++i) {
      unfinished.push_back(std::make_unique<RawClient>(address));
      unfinished.back()->Send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n");
    }
  }
  const std::string rpc = "POST /rpc HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
  EXPECT_EQ(SendForStatus(vm.m_peerAddress, rpc), "403");
  EXPECT_EQ(SendForStatus(vm.m_adminAddress, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"), "401");
  EXPECT_EQ(SendForStatus(vm.m_address, "GET /v1/settings HTTP/1.1\r\nHost: x\r\n\r\n"), "404");
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
