#include "jaylane/peer/PeerServer.h"

#include "PeerProtocol.h"
#include "jaylane/base/HttpServer.h"
#include "jaylane/base/Secrets.h"
#include "jaylane/peer/MessageCodec.h"
#include "jaylane/peer/PeerError.h"

#include <algorithm>
#include <cctype>
#include <jsonrpccpp/server.h>
#include <utility>

namespace jaylane::peer {

namespace {

// Connector without a transport of its own: base::HttpServer receives the requests and passes them
// to the protocol handler. The HTTP server of libjsonrpccpp would listen on all addresses.
class InProcessConnector final : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string&, void*) override { return true; }
};

std::string LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

/// Decodes calls and passes them to the handlers.
class Dispatcher final : public jsonrpc::AbstractServer<Dispatcher>
{
public:
  Dispatcher(InProcessConnector& aConnector, PeerHandlers aHandlers)
    : AbstractServer(aConnector, jsonrpc::JSONRPC_SERVER_V2)
    , m_handlers(std::move(aHandlers))
  {
    Bind(kExchange, &Dispatcher::OnExchange);
    Bind(kProbe, &Dispatcher::OnProbe);
    Bind(kBorrow, &Dispatcher::OnBorrow);
    Bind(kHandover, &Dispatcher::OnHandover);
  }

private:
  void Bind(const char* aMethod, methodPointer_t aHandler)
  {
    const jsonrpc::Procedure procedure(aMethod,
                                       jsonrpc::PARAMS_BY_NAME,
                                       jsonrpc::JSON_OBJECT,
                                       "message",
                                       jsonrpc::JSON_OBJECT,
                                       nullptr);
    bindAndAddMethod(procedure, aHandler);
  }

  template<typename Request, typename Handler>
  static void HandleCall(const Json::Value& aParameters,
                         Json::Value& aResult,
                         const Handler& aHandler)
  {
    const auto request = Decode<Request>(aParameters["message"]);
    if (!request) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
    }
    aResult = Encode(aHandler(*request));
  }

  void OnExchange(const Json::Value& aParameters, Json::Value& aResult)
  {
    HandleCall<ExchangeMessage>(aParameters, aResult, m_handlers.m_exchange);
  }
  void OnProbe(const Json::Value& aParameters, Json::Value& aResult)
  {
    HandleCall<ProbeRequest>(aParameters, aResult, m_handlers.m_probe);
  }
  void OnBorrow(const Json::Value& aParameters, Json::Value& aResult)
  {
    HandleCall<BorrowRequest>(aParameters, aResult, m_handlers.m_borrow);
  }
  void OnHandover(const Json::Value& aParameters, Json::Value& aResult)
  {
    HandleCall<HandoverRequest>(aParameters, aResult, m_handlers.m_handover);
  }

  const PeerHandlers m_handlers;
};

} // namespace

class PeerServer::Impl
{
public:
  Impl(std::string aKey, PeerHandlers aHandlers)
    : m_key(std::move(aKey))
    , m_dispatcher(m_connector, std::move(aHandlers))
  {
  }

  base::Status Start(const base::SocketAddress& aBind)
  {
    base::HttpServer::Options options;
    options.m_bind = aBind;
    options.m_maxBodyBytes = kMaxMessageBytes;
    auto server = base::HttpServer::Make(
      options, [this](const base::HttpRequest& aRequest) { return Handle(aRequest); });
    if (!server) {
      return base::Error{ make_error_code(PeerErrc::ListenFailed), aBind.ToString() };
    }
    m_server = std::move(*server);
    return base::Success{};
  }

  const base::SocketAddress& Address() const { return m_server->Address(); }

private:
  base::HttpResponse Handle(const base::HttpRequest& aRequest)
  {
    base::HttpResponse response;
    if (!base::EqualSecrets(aRequest.Header(LowerCase(kKeyHeader)), m_key)) {
      response.m_status = 403;
    } else if (aRequest.m_path != kRpcPath || aRequest.m_method != "POST") {
      response.m_status = 404;
    } else {
      m_connector.GetHandler()->HandleRequest(aRequest.m_body, response.m_body);
    }
    return response;
  }

  const std::string m_key;
  InProcessConnector m_connector;
  Dispatcher m_dispatcher;
  // Declared last so that it is destroyed first: calls that still run use the members above.
  std::unique_ptr<base::HttpServer> m_server;
};

base::Result<std::unique_ptr<PeerServer>> PeerServer::Make(const base::SocketAddress& aBind,
                                                           std::string aKey,
                                                           PeerHandlers aHandlers)
{
  auto impl = std::make_unique<Impl>(std::move(aKey), std::move(aHandlers));
  const auto started = impl->Start(aBind);
  if (!started) {
    return started.GetError();
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

PeerServer::~PeerServer() = default;

const base::SocketAddress& PeerServer::Address() const
{
  return m_impl->Address();
}

} // namespace jaylane::peer
