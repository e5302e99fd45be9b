#include "jaylane/proxy/CallerServer.h"

#include "jaylane/proxy/ProxyError.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <fmt/format.h>
#include <microhttpd.h>
#include <unistd.h>
#include <utility>

namespace jaylane::proxy {

namespace {

constexpr std::string_view kRequestPrefix = "/s/";
constexpr std::string_view kLookupPath = "/v1/lookup";
// Size of the blocks in which response bodies are read.
constexpr std::size_t kReadBlockBytes = 64 * 1024;

/// State of a request on a caller's connection.
struct CallerRequest
{
  /// Path with the query, before percent decoding.
  std::string m_target;
  /// Only set for requests to be forwarded, not for lookups.
  std::shared_ptr<Exchange> m_exchange;
  bool m_begun = false;
  bool m_dispatched = false;
  bool m_uploadFinished = false;
};

MHD_Result CollectHeader(void* aTarget, MHD_ValueKind, const char* aName, const char* aValue)
{
  static_cast<HeaderList*>(aTarget)->Add(aName, aValue ? aValue : "");
  return MHD_YES;
}

std::string ClientHost(MHD_Connection* aConnection)
{
  const auto* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (!info || !info->client_addr || info->client_addr->sa_family != AF_INET) {
    return {};
  }
  const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
  return base::SocketAddress{ ntohl(address->sin_addr.s_addr), 0 }.HostString();
}

/// Context of ReadBody().
struct BodySource
{
  std::shared_ptr<Exchange> m_exchange;
  MHD_Connection* m_connection;
};

ssize_t ReadBody(void* aSource, std::uint64_t, char* aTarget, size_t aSize)
{
  const auto* source = static_cast<BodySource*>(aSource);
  const auto read = source->m_exchange->ReadDownload(
    aTarget, aSize, [source] { MHD_suspend_connection(source->m_connection); });
  switch (read.m_state) {
    case Exchange::ReadState::Data:
      return static_cast<ssize_t>(read.m_size);
    case Exchange::ReadState::Pending:
      return 0;
    case Exchange::ReadState::End:
      return MHD_CONTENT_READER_END_OF_STREAM;
    case Exchange::ReadState::Failed:
      break;
  }
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

void ReleaseBodySource(void* aSource)
{
  delete static_cast<BodySource*>(aSource);
}

MHD_Result QueueText(MHD_Connection* aConnection,
                     unsigned aStatus,
                     std::string_view aBody,
                     std::chrono::seconds aRetryAfter,
                     bool aClose)
{
  MHD_Response* response = MHD_create_response_from_buffer(
    aBody.size(), const_cast<char*>(aBody.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  if (aRetryAfter.count() > 0) {
    MHD_add_response_header(
      response, "Retry-After", fmt::format("{}", aRetryAfter.count()).c_str());
  }
  if (aClose) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const MHD_Result result = MHD_queue_response(aConnection, aStatus, response);
  MHD_destroy_response(response);
  return result;
}

MHD_Result QueueResponse(MHD_Connection* aConnection,
                         const CallerRequest& aRequest,
                         const ResponseHead& aHead,
                         bool aClose)
{
  auto* source = new BodySource{ aRequest.m_exchange, aConnection };
  MHD_Response* response =
    MHD_create_response_from_callback(aHead.m_contentLength.value_or(MHD_SIZE_UNKNOWN),
                                      kReadBlockBytes,
                                      &ReadBody,
                                      source,
                                      &ReleaseBodySource);
  for (const Header& header : aHead.m_headers.Fields()) {
    MHD_add_response_header(response, header.m_name.c_str(), header.m_value.c_str());
  }
  if (aClose) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const MHD_Result result = MHD_queue_response(aConnection, aHead.m_status, response);
  MHD_destroy_response(response);
  return result;
}

} // namespace

struct CallerServer::State
{
  Options m_options;
  ArrivalHook m_arrival;
  LookupHook m_lookup;
  RequestHook m_request;
  base::SocketAddress m_address;
  MHD_Daemon* m_daemon = nullptr;
  std::atomic<std::size_t> m_inFlight{ 0 };
  std::atomic<bool> m_quiesced{ false };

  static void* OnTarget(void* aState, const char* aTarget, MHD_Connection* aConnection);
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

  void Begin(MHD_Connection* aConnection, const char* aMethod, CallerRequest& aRequest);
  MHD_Result AnswerLookup(MHD_Connection* aConnection) const;
  void BufferUpload(MHD_Connection* aConnection,
                    CallerRequest& aRequest,
                    const char* aData,
                    size_t* aSize);
  void DispatchIfBuffered(CallerRequest& aRequest) const;
  MHD_Result FinishUploadAndRespond(MHD_Connection* aConnection, CallerRequest& aRequest) const;
  MHD_Daemon* StartDaemon();
};

// This callback is the only place where MHD provides the undecoded target with its query.
void* CallerServer::State::OnTarget(void*, const char* aTarget, MHD_Connection*)
{
  auto* request = new CallerRequest;
  request->m_target = aTarget;
  return request;
}

MHD_Result CallerServer::State::AnswerLookup(MHD_Connection* aConnection) const
{
  const char* service = MHD_lookup_connection_value(aConnection, MHD_GET_ARGUMENT_KIND, "service");
  const char* caller = MHD_lookup_connection_value(aConnection, MHD_GET_ARGUMENT_KIND, "caller");
  const std::string client = caller ? std::string() : ClientHost(aConnection);
  const LookupResponse response =
    m_lookup({ service ? service : "", caller ? std::string_view(caller) : client });
  return QueueText(
    aConnection, response.m_status, response.m_body, response.m_retryAfter, m_quiesced);
}

void CallerServer::State::Begin(MHD_Connection* aConnection,
                                const char* aMethod,
                                CallerRequest& aRequest)
{
  RequestHead head;
  head.m_method = aMethod;
  head.m_target = aRequest.m_target;
  head.m_clientHost = ClientHost(aConnection);
  MHD_get_connection_values(aConnection, MHD_HEADER_KIND, &CollectHeader, &head.m_headers);
  aRequest.m_exchange = std::make_shared<Exchange>(std::move(head), m_arrival());
  aRequest.m_exchange->SetResumeCaller([aConnection] { MHD_resume_connection(aConnection); });
  m_inFlight.fetch_add(1);
  const auto timeout = static_cast<unsigned>(m_options.m_requestIdleTimeout.count());
  MHD_set_connection_option(aConnection, MHD_CONNECTION_OPTION_TIMEOUT, timeout);
}

void CallerServer::State::DispatchIfBuffered(CallerRequest& aRequest) const
{
  if (!aRequest.m_dispatched && aRequest.m_exchange->UploadBuffered()) {
    aRequest.m_dispatched = true;
    m_request(aRequest.m_exchange);
  }
}

void CallerServer::State::BufferUpload(MHD_Connection* aConnection,
                                       CallerRequest& aRequest,
                                       const char* aData,
                                       size_t* aSize)
{
  const auto suspend = [aConnection] { MHD_suspend_connection(aConnection); };
  *aSize -= aRequest.m_exchange->OfferUpload({ aData, *aSize }, suspend);
  DispatchIfBuffered(aRequest);
}

MHD_Result CallerServer::State::FinishUploadAndRespond(MHD_Connection* aConnection,
                                                       CallerRequest& aRequest) const
{
  if (!aRequest.m_uploadFinished) {
    aRequest.m_uploadFinished = true;
    aRequest.m_exchange->FinishUpload();
    DispatchIfBuffered(aRequest);
  }
  const auto head =
    aRequest.m_exchange->AwaitResponse([aConnection] { MHD_suspend_connection(aConnection); });
  return head ? QueueResponse(aConnection, aRequest, *head, m_quiesced) : MHD_YES;
}

MHD_Result CallerServer::State::OnAccess(void* aState,
                                         MHD_Connection* aConnection,
                                         const char* aUrl,
                                         const char* aMethod,
                                         const char*,
                                         const char* aUploadData,
                                         size_t* aUploadSize,
                                         void** aContext)
{
  auto* state = static_cast<State*>(aState);
  auto& request = *static_cast<CallerRequest*>(*aContext);
  const std::string_view url(aUrl);
  if (!request.m_begun) {
    request.m_begun = true;
    if (url.substr(0, kRequestPrefix.size()) == kRequestPrefix) {
      state->Begin(aConnection, aMethod, request);
    }
    return MHD_YES;
  }
  if (request.m_exchange && *aUploadSize > 0) {
    state->BufferUpload(aConnection, request, aUploadData, aUploadSize);
    return MHD_YES;
  }
  if (request.m_exchange) {
    return state->FinishUploadAndRespond(aConnection, request);
  }
  if (*aUploadSize > 0) {
    *aUploadSize = 0;
    return MHD_YES;
  }
  if (url == kLookupPath) {
    return state->AnswerLookup(aConnection);
  }
  constexpr std::string_view kUnknownPath =
    R"({"error":{"code":"unknown-path","message":"use /v1/lookup or /s/<service>/<path>"}})";
  return QueueText(aConnection, MHD_HTTP_NOT_FOUND, kUnknownPath, {}, state->m_quiesced);
}

void CallerServer::State::OnCompleted(void* aState,
                                      MHD_Connection* aConnection,
                                      void** aContext,
                                      MHD_RequestTerminationCode aCode)
{
  auto* state = static_cast<State*>(aState);
  const std::unique_ptr<CallerRequest> request(static_cast<CallerRequest*>(*aContext));
  *aContext = nullptr;
  if (!request || !request->m_exchange) {
    return;
  }
  if (aCode != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    request->m_exchange->AbortByCaller();
  }
  request->m_exchange->SetResumeCaller(nullptr);
  const auto timeout = static_cast<unsigned>(state->m_options.m_idleTimeout.count());
  MHD_set_connection_option(aConnection, MHD_CONNECTION_OPTION_TIMEOUT, timeout);
  state->m_inFlight.fetch_sub(1);
}

MHD_Daemon* CallerServer::State::StartDaemon()
{
  sockaddr_in bind = m_options.m_bind.ToSockaddr();
  return MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL |
                            MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
                          m_options.m_bind.m_port,
                          nullptr,
                          nullptr,
                          &State::OnAccess,
                          this,
                          MHD_OPTION_SOCK_ADDR,
                          &bind,
                          MHD_OPTION_URI_LOG_CALLBACK,
                          &State::OnTarget,
                          this,
                          MHD_OPTION_NOTIFY_COMPLETED,
                          &State::OnCompleted,
                          this,
                          MHD_OPTION_CONNECTION_TIMEOUT,
                          static_cast<unsigned>(m_options.m_idleTimeout.count()),
                          MHD_OPTION_CONNECTION_LIMIT,
                          m_options.m_maxConnections,
                          MHD_OPTION_THREAD_POOL_SIZE,
                          std::max(m_options.m_threads, 2U),
                          MHD_OPTION_END);
}

base::Result<std::unique_ptr<CallerServer>> CallerServer::Make(const Options& aOptions,
                                                               ArrivalHook aArrival,
                                                               LookupHook aLookup,
                                                               RequestHook aRequest)
{
  auto state = std::make_unique<State>();
  state->m_options = aOptions;
  state->m_arrival = std::move(aArrival);
  state->m_lookup = std::move(aLookup);
  state->m_request = std::move(aRequest);
  state->m_daemon = state->StartDaemon();
  if (!state->m_daemon) {
    return base::Error{ ProxyErrc::ListenFailed, aOptions.m_bind.ToString() };
  }
  const auto* info = MHD_get_daemon_info(state->m_daemon, MHD_DAEMON_INFO_BIND_PORT);
  state->m_address = base::SocketAddress{ aOptions.m_bind.m_host, info->port };
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(state)));
}

CallerServer::CallerServer(std::unique_ptr<State> aState)
  : m_state(std::move(aState))
{
}

CallerServer::~CallerServer()
{
  MHD_stop_daemon(m_state->m_daemon);
}

const base::SocketAddress& CallerServer::Address() const
{
  return m_state->m_address;
}

void CallerServer::Quiesce()
{
  if (m_state->m_quiesced.exchange(true)) {
    return;
  }
  const MHD_socket listener = MHD_quiesce_daemon(m_state->m_daemon);
  if (listener != MHD_INVALID_SOCKET) {
    close(listener);
  }
}

std::size_t CallerServer::InFlight() const
{
  return m_state->m_inFlight.load();
}

} // namespace jaylane::proxy
