#include "jaylane/testing/HttpServer.h"

#include "jaylane/testing/TestingError.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <microhttpd.h>
#include <poll.h>
#include <xxhash.h>

namespace jaylane::testing {

namespace {

constexpr std::size_t kReadBlockBytes = 32 * 1024;
constexpr std::size_t kThreadStackBytes = 256 * 1024;

struct HashDeleter
{
  void operator()(XXH64_state_t* aState) const { XXH64_freeState(aState); }
};

/// State of a request between the callbacks of libmicrohttpd.
struct PendingRequest
{
  HttpRequest m_request;
  std::unique_ptr<XXH64_state_t, HashDeleter> m_hash{ XXH64_createState() };
};

MHD_Result AddHeader(void* aMap, MHD_ValueKind, const char* aName, const char* aValue)
{
  std::string name(aName);
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  (*static_cast<std::map<std::string, std::string>*>(aMap))[name] = aValue ? aValue : "";
  return MHD_YES;
}

MHD_Result AddArgument(void* aMap, MHD_ValueKind, const char* aName, const char* aValue)
{
  (*static_cast<std::map<std::string, std::string>*>(aMap))[aName] = aValue ? aValue : "";
  return MHD_YES;
}

ssize_t ReadBody(void* aReader, std::uint64_t aOffset, char* aBuffer, std::size_t aSize)
{
  const auto bytes = (*static_cast<HttpResponse::Reader*>(aReader))(aOffset, aBuffer, aSize);
  return bytes > 0 ? static_cast<ssize_t>(bytes) : MHD_CONTENT_READER_END_WITH_ERROR;
}

void DeleteReader(void* aReader)
{
  delete static_cast<HttpResponse::Reader*>(aReader);
}

MHD_Result QueueResponse(MHD_Connection* aConnection, HttpResponse aResponse)
{
  if (aResponse.m_close) {
    return MHD_NO;
  }
  MHD_Response* response = nullptr;
  if (aResponse.m_reader) {
    response = MHD_create_response_from_callback(aResponse.m_size,
                                                 kReadBlockBytes,
                                                 &ReadBody,
                                                 new HttpResponse::Reader(aResponse.m_reader),
                                                 &DeleteReader);
  } else {
    response = MHD_create_response_from_buffer(
      aResponse.m_body.size(), aResponse.m_body.data(), MHD_RESPMEM_MUST_COPY);
  }
  for (const auto& [name, value] : aResponse.m_headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result result = MHD_queue_response(aConnection, aResponse.m_status, response);
  MHD_destroy_response(response);
  return result;
}

std::unique_ptr<PendingRequest> BeginRequest(MHD_Connection* aConnection,
                                             const char* aUrl,
                                             const char* aMethod)
{
  auto pending = std::make_unique<PendingRequest>();
  HttpRequest& request = pending->m_request;
  request.m_method = aMethod;
  request.m_path = aUrl;
  MHD_get_connection_values(aConnection, MHD_HEADER_KIND, &AddHeader, &request.m_headers);
  MHD_get_connection_values(aConnection, MHD_GET_ARGUMENT_KIND, &AddArgument, &request.m_query);
  if (const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)) {
    request.m_socketFd = info->connect_fd;
  }
  XXH64_reset(pending->m_hash.get(), 0);
  return pending;
}

void OnRequestEnd(void* aHooks, MHD_Connection*, void** aState, MHD_RequestTerminationCode aCode)
{
  const std::unique_ptr<PendingRequest> pending(static_cast<PendingRequest*>(*aState));
  *aState = nullptr;
  const auto& hooks = *static_cast<const HttpServer::Hooks*>(aHooks);
  if (pending && hooks.m_onEnd) {
    hooks.m_onEnd(pending->m_request, aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  }
}

} // namespace

std::string HttpRequest::Header(const std::string& aName) const
{
  const auto found = m_headers.find(aName);
  return found == m_headers.end() ? std::string() : found->second;
}

std::uint64_t HttpRequest::QueryNumber(const std::string& aName, std::uint64_t aDefault) const
{
  const auto found = m_query.find(aName);
  std::uint64_t value = aDefault;
  if (found != m_query.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

bool HttpRequest::ClosedWithin(std::chrono::milliseconds aTimeout) const
{
  pollfd item{ m_socketFd, POLLRDHUP, 0 };
  return poll(&item, 1, static_cast<int>(aTimeout.count())) > 0;
}

struct HttpServer::Internals
{
  Hooks m_hooks;
  std::size_t m_keptBodyBytes = 0;
  MHD_Daemon* m_daemon = nullptr;

  MHD_Result OnBodyData(MHD_Connection* aConnection,
                        PendingRequest& aPending,
                        const char* aData,
                        std::size_t* aDataBytes) const
  {
    HttpRequest& request = aPending.m_request;
    if (*aDataBytes > 0) {
      XXH64_update(aPending.m_hash.get(), aData, *aDataBytes);
      request.m_bodyBytes += *aDataBytes;
      const std::size_t kept = std::min(*aDataBytes, m_keptBodyBytes - request.m_body.size());
      request.m_body.append(aData, kept);
      *aDataBytes = 0;
      return MHD_YES;
    }
    request.m_bodyHash = XXH64_digest(aPending.m_hash.get());
    return QueueResponse(aConnection, m_hooks.m_onRequest(request));
  }
};

HttpServer::HttpServer(Hooks aHooks)
  : m_internals(std::make_unique<Internals>())
{
  m_internals->m_hooks = std::move(aHooks);
}

HttpServer::~HttpServer()
{
  if (m_internals->m_daemon) {
    MHD_stop_daemon(m_internals->m_daemon);
  }
}

base::Result<std::unique_ptr<HttpServer>> HttpServer::Make(const HttpServerOptions& aOptions,
                                                           Hooks aHooks)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aOptions.m_port);
  if (inet_pton(AF_INET, aOptions.m_bindAddress.c_str(), &address.sin_addr) != 1) {
    return MakeError(TestingErrc::Malformed, "bind address " + aOptions.m_bindAddress);
  }
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(aHooks)));
  Internals& internals = *server->m_internals;
  internals.m_keptBodyBytes = aOptions.m_keptBodyBytes;
  const auto access = [](void* aContext,
                         MHD_Connection* aConnection,
                         const char* aUrl,
                         const char* aMethod,
                         const char*,
                         const char* aData,
                         std::size_t* aDataBytes,
                         void** aState) -> MHD_Result {
    const auto& self = *static_cast<const Internals*>(aContext);
    if (!*aState) {
      *aState = BeginRequest(aConnection, aUrl, aMethod).release();
      if (self.m_hooks.m_onHeaders) {
        self.m_hooks.m_onHeaders(static_cast<PendingRequest*>(*aState)->m_request);
      }
      return MHD_YES;
    }
    return self.OnBodyData(aConnection, *static_cast<PendingRequest*>(*aState), aData, aDataBytes);
  };
  internals.m_daemon =
    MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                     aOptions.m_port,
                     nullptr,
                     nullptr,
                     +access,
                     &internals,
                     MHD_OPTION_SOCK_ADDR,
                     &address,
                     MHD_OPTION_NOTIFY_COMPLETED,
                     &OnRequestEnd,
                     &internals.m_hooks,
                     MHD_OPTION_CONNECTION_LIMIT,
                     aOptions.m_connectionLimit,
                     MHD_OPTION_THREAD_STACK_SIZE,
                     kThreadStackBytes,
                     MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                     aOptions.m_connectionMemoryBytes,
                     MHD_OPTION_END);
  if (!internals.m_daemon) {
    return MakeError(TestingErrc::ListenFailed, aOptions.m_bindAddress);
  }
  const auto* info = MHD_get_daemon_info(internals.m_daemon, MHD_DAEMON_INFO_BIND_PORT);
  server->m_address =
    fmt::format("{}:{}", aOptions.m_bindAddress, info ? info->port : aOptions.m_port);
  return server;
}

HttpResponse JsonResponse(unsigned aStatus, std::string aJson)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers["Content-Type"] = "application/json";
  response.m_body = std::move(aJson);
  return response;
}

} // namespace jaylane::testing
