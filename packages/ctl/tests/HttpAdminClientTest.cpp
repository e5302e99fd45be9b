#include "jaylane/ctl/HttpAdminClient.h"

#include <cstring>
#include <gtest/gtest.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jaylane::ctl {
namespace {

using namespace std::chrono_literals;

/// HTTP server on a port chosen by the kernel. "/echo" responds with the request, "/close" closes
/// the connection without a response, and any other path responds with JSON that is not an object.
class Server
{
public:
  Server()
    : m_daemon(MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD,
                                0,
                                nullptr,
                                nullptr,
                                &Server::Handle,
                                this,
                                MHD_OPTION_END))
  {
  }

  ~Server() { MHD_stop_daemon(m_daemon); }

  std::string Address() const
  {
    const MHD_DaemonInfo* info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    return "127.0.0.1:" + std::to_string(info->port);
  }

private:
  static MHD_Result Handle(void*,
                           MHD_Connection* aConnection,
                           const char* aUrl,
                           const char* aMethod,
                           const char*,
                           const char* aData,
                           std::size_t* aSize,
                           void** aState)
  {
    static int sStarted = 0;
    if (!*aState) {
      *aState = &sStarted;
      return MHD_YES;
    }
    static thread_local std::string sBody;
    if (*aSize > 0) {
      sBody.append(aData, *aSize);
      *aSize = 0;
      return MHD_YES;
    }
    if (std::strcmp(aUrl, "/close") == 0) {
      return MHD_NO;
    }
    const char* authorization =
      MHD_lookup_connection_value(aConnection, MHD_HEADER_KIND, "Authorization");
    std::string text = "[]";
    if (std::strcmp(aUrl, "/echo") == 0) {
      text = std::string("{\"method\":\"") + aMethod + "\",\"authorization\":\"" +
             (authorization ? authorization : "") +
             "\",\"body\":" + (sBody.empty() ? "null" : sBody) + "}";
    }
    sBody.clear();
    MHD_Response* response =
      MHD_create_response_from_buffer(text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result result = MHD_queue_response(aConnection, 202, response);
    MHD_destroy_response(response);
    return result;
  }

  MHD_Daemon* m_daemon;
};

/// Binds a port without listening on it: connections are refused, and no other process can start to
/// listen there.
class ClosedPort
{
public:
  ClosedPort()
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    m_address.sin_family = AF_INET;
    m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(m_address);
    EXPECT_EQ(bind(m_socket, reinterpret_cast<sockaddr*>(&m_address), size), 0);
    EXPECT_EQ(getsockname(m_socket, reinterpret_cast<sockaddr*>(&m_address), &size), 0);
  }

  ~ClosedPort() { close(m_socket); }

  std::string Address() const { return "127.0.0.1:" + std::to_string(ntohs(m_address.sin_port)); }

private:
  const int m_socket;
  sockaddr_in m_address{};
};

// Guards against requests that lack the token or the body, or have the wrong method.
TEST(HttpAdminClientTest, SendsTokenAndBody)
{
  Server server;
  HttpAdminClient client("secret-token", 5s);
  Json::Value body(Json::objectValue);
  body["id"] = std::string(10'000, 'x');
  const AdminClientResponse response = client.Send(server.Address(), { "POST", "/echo", body });
  ASSERT_EQ(response.m_delivery, Delivery::Answered) << response.m_problem;
  EXPECT_EQ(response.m_status, 202);
  EXPECT_EQ(response.m_body["method"], "POST");
  EXPECT_EQ(response.m_body["authorization"], "Bearer secret-token");
  EXPECT_EQ(response.m_body["body"], body);
  EXPECT_EQ(client.Send(server.Address(), { "GET", "/echo", {} }).m_body["method"], "GET");
}

// Guards against reporting a request as not sent when only its response was lost, and the reverse,
// and against error messages that contain the token.
TEST(HttpAdminClientTest, DistinguishesLostFromNotSent)
{
  HttpAdminClient client("secret-token", 5s);
  Server server;
  for (const char* path : { "/close", "/list" }) {
    const AdminClientResponse lost = client.Send(server.Address(), { "GET", path, {} });
    EXPECT_EQ(lost.m_delivery, Delivery::Lost) << path;
    EXPECT_EQ(lost.Explain().find("secret"), std::string::npos);
  }
  const ClosedPort closed;
  const AdminClientResponse refused = client.Send(closed.Address(), { "GET", "/echo", {} });
  EXPECT_EQ(refused.m_delivery, Delivery::NotSent) << refused.m_problem;
  EXPECT_EQ(client.Send("not a host", { "GET", "/", {} }).m_delivery, Delivery::NotSent);
}

} // namespace
} // namespace jaylane::ctl
