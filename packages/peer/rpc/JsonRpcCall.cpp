#include "JsonRpcCall.h"

#include <jsonrpccpp/client.h>

namespace jaylane {
namespace peer {
namespace detail {

namespace {

class Connector : public jsonrpc::IClientConnector
{
public:
  explicit Connector(const RpcSend& aSend)
    : m_send(aSend)
  {
  }

  void SendRPCMessage(const std::string& aMessage,
                      std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    if (!m_send(aMessage, aResult)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
  }

private:
  const RpcSend& m_send;
};

} // namespace

RpcResult CallJsonRpc(const RpcSend& aSend, const std::string& aMethod, const Json::Value& aMessage)
{
  RpcResult result;
  Connector connector(aSend);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  Json::Value parameters;
  parameters["message"] = aMessage;
  try {
    result.m_value = client.CallMethod(aMethod, parameters);
    result.m_ok = true;
  } catch (const jsonrpc::JsonRpcException& failure) {
    result.m_error = failure.what();
  }
  return result;
}

} // namespace detail
} // namespace peer
} // namespace jaylane
