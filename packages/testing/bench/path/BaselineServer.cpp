#include "Sections.h"

#include "jaylane/base/SocketAddress.h"
#include "jaylane/testing/Program.h"

#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string>

namespace jaylane::testing {

namespace {

// Same number as the default of the VM setting caller_threads.
constexpr unsigned kThreads = 2;

MHD_Result HandleRequest(void* aBody,
                         MHD_Connection* aConnection,
                         const char*,
                         const char*,
                         const char*,
                         const char*,
                         std::size_t*,
                         void** aContext)
{
  // The first call only announces the headers of a request; the response is queued in the next.
  static int sFirstCallDone = 0;
  if (!*aContext) {
    *aContext = &sFirstCallDone;
    return MHD_YES;
  }
  const auto& body = *static_cast<const std::string*>(aBody);
  MHD_Response* response = MHD_create_response_from_buffer(
    body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  const MHD_Result result = MHD_queue_response(aConnection, 200, response);
  MHD_destroy_response(response);
  return result;
}

} // namespace

int RunBaselineServer(unsigned aBodyBytes)
{
  BlockTerminationSignals();
  std::string body(aBodyBytes, 'x');
  sockaddr_in bind{};
  bind.sin_family = AF_INET;
  bind.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  MHD_Daemon* daemon =
    MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL | MHD_USE_ITC,
                     0,
                     nullptr,
                     nullptr,
                     &HandleRequest,
                     &body,
                     MHD_OPTION_SOCK_ADDR,
                     &bind,
                     MHD_OPTION_THREAD_POOL_SIZE,
                     kThreads,
                     MHD_OPTION_END);
  if (!daemon) {
    return 1;
  }
  Json::Value line;
  line["address"] =
    fmt::format("127.0.0.1:{}", MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  PrintLine(line);
  WaitForTermination();
  MHD_stop_daemon(daemon);
  return 0;
}

} // namespace jaylane::testing
