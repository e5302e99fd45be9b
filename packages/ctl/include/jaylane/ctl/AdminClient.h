#pragma once

#include <json/value.h>
#include <string>

namespace jaylane::ctl {

struct AdminRequest
{
  /// "GET" or "POST".
  std::string m_method;
  /// Path with query, such as "/v1/timeline?after=5".
  std::string m_path;
  /// Null for no body.
  Json::Value m_body;
};

/// What is known about a request.
enum class Delivery
{
  Answered,
  /// No connection was made: the request had no effect.
  NotSent,
  /// No complete response arrived: the request may have had its effect.
  Lost,
};

struct AdminReply
{
  Delivery m_delivery = Delivery::NotSent;
  int m_status = 0;
  Json::Value m_body;
  /// Why there is no response; holds no token.
  std::string m_problem;

  /// @return code of the error in the body; empty if there is none.
  std::string ErrorCode() const;

  /// @return whether a usable response arrived.
  bool Succeeded() const { return m_delivery == Delivery::Answered && m_status == 200; }

  /// @return one line for the operator about a reply that did not succeed.
  std::string Explain() const;
};

/// Sends requests to the administration API of a VM.
class AdminClient
{
public:
  virtual ~AdminClient() = default;

  /// @param aVm "host:port" of the VM's administration address.
  /// @param aRequest request, sent once.
  virtual AdminReply Send(const std::string& aVm, const AdminRequest& aRequest) = 0;
};

} // namespace jaylane::ctl
