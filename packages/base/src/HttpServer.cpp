#include "jaylane/base/HttpServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <fmt/format.h>
#include <microhttpd.h>
#include <utility>

namespace jaylane::base {

struct HttpServer::State
{
  Options m_options;
  Handler m_handler;
  SocketAddress m_address;
  MHD_Daemon* m_daemon = nullptr;

  static MHD_Result OnAccess(void* aState,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aUploadData,
                             size_t* aUploadSize,
                             void** aContext);
  static void OnCompleted(void* aState,
                          MHD_Connection* aConnection,
                          void** aContext,
                          MHD_RequestTerminationCode aCode);
};

namespace {

/// A request while its body is being received.
struct PendingRequest
{
  HttpRequest m_request;
  bool m_tooLarge = false;
};

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return lower;
}

MHD_Result CollectHeader(void* aTarget, MHD_ValueKind, const char* aName, const char* aValue)
{
  auto* headers = static_cast<std::map<std::string, std::string>*>(aTarget);
  (*headers)[LowerCase(aName)] = aValue ? aValue : "";
  return MHD_YES;
}

MHD_Result CollectQuery(void* aTarget, MHD_ValueKind, const char* aName, const char* aValue)
{
  auto* query = static_cast<std::map<std::string, std::string>*>(aTarget);
  (*query)[aName] = aValue ? aValue : "";
  return MHD_YES;
}

std::string ClientHost(MHD_Connection* aConnection)
{
  const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (!info || !info->client_addr || info->client_addr->sa_family != AF_INET) {
    return {};
  }
  const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
  return SocketAddress{ ntohl(address->sin_addr.s_addr), 0 }.HostString();
}

PendingRequest* BeginRequest(MHD_Connection* aConnection, const char* aUrl, const char* aMethod)
{
  auto pending = std::make_unique<PendingRequest>();
  HttpRequest& request = pending->m_request;
  request.m_method = aMethod;
  request.m_path = aUrl;
  request.m_clientHost = ClientHost(aConnection);
  MHD_get_connection_values(aConnection, MHD_HEADER_KIND, &CollectHeader, &request.m_headers);
  MHD_get_connection_values(aConnection, MHD_GET_ARGUMENT_KIND, &CollectQuery, &request.m_query);
  return pending.release();
}

MHD_Result SendResponse(MHD_Connection* aConnection, const HttpResponse& aResponse)
{
  if (aResponse.m_abort) {
    return MHD_NO;
  }
  MHD_Response* mhdResponse = MHD_create_response_from_buffer(
    aResponse.m_body.size(), const_cast<char*>(aResponse.m_body.data()), MHD_RESPMEM_MUST_COPY);
  for (const auto& [name, value] : aResponse.m_headers) {
    MHD_add_response_header(mhdResponse, name.c_str(), value.c_str());
  }
  const MHD_Result result = MHD_queue_response(aConnection, aResponse.m_status, mhdResponse);
  MHD_destroy_response(mhdResponse);
  return result;
}

HttpResponse RunHandler(const HttpServer::Handler& aHandler, const HttpRequest& aRequest)
{
  try {
    return aHandler(aRequest);
  } catch (const std::exception& failure) {
    return HttpResponse{ MHD_HTTP_INTERNAL_SERVER_ERROR, failure.what(), {}, false };
  }
}

} // namespace

MHD_Result HttpServer::State::OnAccess(void* aState,
                                       MHD_Connection* aConnection,
                                       const char* aUrl,
                                       const char* aMethod,
                                       const char*,
                                       const char* aUploadData,
                                       size_t* aUploadSize,
                                       void** aContext)
{
  const auto* state = static_cast<const State*>(aState);
  auto* pending = static_cast<PendingRequest*>(*aContext);
  if (!pending) {
    *aContext = BeginRequest(aConnection, aUrl, aMethod);
    return MHD_YES;
  }
  if (*aUploadSize > 0) {
    std::string& body = pending->m_request.m_body;
    pending->m_tooLarge |= body.size() + *aUploadSize > state->m_options.m_maxBodyBytes;
    if (!pending->m_tooLarge) {
      body.append(aUploadData, *aUploadSize);
    }
    *aUploadSize = 0;
    return MHD_YES;
  }
  if (pending->m_tooLarge) {
    const auto limit = state->m_options.m_maxBodyBytes;
    return SendResponse(
      aConnection,
      { MHD_HTTP_CONTENT_TOO_LARGE, fmt::format("the body exceeds {} bytes\n", limit), {}, false });
  }
  return SendResponse(aConnection, RunHandler(state->m_handler, pending->m_request));
}

void HttpServer::State::OnCompleted(void*,
                                    MHD_Connection*,
                                    void** aContext,
                                    MHD_RequestTerminationCode)
{
  delete static_cast<PendingRequest*>(*aContext);
  *aContext = nullptr;
}

std::string HttpRequest::Header(const std::string& aName) const
{
  const auto found = m_headers.find(aName);
  return found == m_headers.end() ? std::string() : found->second;
}

std::string HttpRequest::Query(const std::string& aName) const
{
  const auto found = m_query.find(aName);
  return found == m_query.end() ? std::string() : found->second;
}

Result<std::unique_ptr<HttpServer>> HttpServer::Make(const Options& aOptions, Handler aHandler)
{
  auto state = std::make_unique<State>();
  state->m_options = aOptions;
  state->m_handler = std::move(aHandler);
  sockaddr_in bind = aOptions.m_bind.ToSockaddr();
  const auto timeout = static_cast<unsigned>(aOptions.m_idleTimeout.count());
  state->m_daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL,
                                     aOptions.m_bind.m_port,
                                     nullptr,
                                     nullptr,
                                     &State::OnAccess,
                                     state.get(),
                                     MHD_OPTION_SOCK_ADDR,
                                     &bind,
                                     MHD_OPTION_NOTIFY_COMPLETED,
                                     &State::OnCompleted,
                                     nullptr,
                                     MHD_OPTION_CONNECTION_TIMEOUT,
                                     timeout,
                                     MHD_OPTION_CONNECTION_LIMIT,
                                     std::max(aOptions.m_maxConnections, aOptions.m_threads),
                                     MHD_OPTION_THREAD_POOL_SIZE,
                                     std::max(aOptions.m_threads, 2U),
                                     MHD_OPTION_END);
  if (!state->m_daemon) {
    return Error{ BaseErrc::ListenFailed, aOptions.m_bind.ToString() };
  }
  const auto* info = MHD_get_daemon_info(state->m_daemon, MHD_DAEMON_INFO_BIND_PORT);
  state->m_address = SocketAddress{ aOptions.m_bind.m_host, info->port };
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::unique_ptr<State> aState)
  : m_state(std::move(aState))
{
}

HttpServer::~HttpServer()
{
  MHD_stop_daemon(m_state->m_daemon);
}

const SocketAddress& HttpServer::Address() const
{
  return m_state->m_address;
}

} // namespace jaylane::base
