#pragma once

#include <functional>
#include <json/value.h>
#include <string>

namespace jaylane {
namespace peer {
namespace detail {

/// Result of a JSON-RPC call.
struct RpcResult
{
  /// Whether m_value holds the result; otherwise m_error holds the reason.
  bool m_ok = false;
  Json::Value m_value;
  std::string m_error;
};

/// Sends a request and receives its response; returns false if the transport failed.
using RpcSend = std::function<bool(const std::string& aRequest, std::string& aResponse)>;

/// Calls a method with one parameter named "message". This header and its source file compile as
/// C++14 (see CMakeLists.txt) and therefore use no types of other packages, which need C++20.
/// @param aSend transport of the request.
/// @param aMethod name of the method.
/// @param aMessage value of the parameter.
/// @return the result of the method, or the reason why the call failed.
RpcResult CallJsonRpc(const RpcSend& aSend,
                      const std::string& aMethod,
                      const Json::Value& aMessage);

} // namespace detail
} // namespace peer
} // namespace jaylane
