#pragma once

#include <json/value.h>
#include <string>

namespace jaylane::ctl {

/// Request to the administration API.
struct AdminRequest
{
  /// "GET" or "POST".
  std::string m_method;
  /// Path with query, such as "/v1/timeline?after=5".
  std::string m_path;
  /// JSON body; null sends none.
  Json::Value m_body;
};

/// Whether a request reached the server.
enum class Delivery
{
  /// A response arrived.
  Answered,
  /// No connection was established: the request had no effect.
  NotSent,
  /// No complete JSON response arrived: the request may have taken effect.
  Lost,
};

/// Response of the administration API, or the reason why there is none.
struct AdminClientResponse
{
  Delivery m_delivery = Delivery::NotSent;
  /// HTTP status code.
  int m_status = 0;
  Json::Value m_body;
  /// Reason for a missing response; never contains a token.
  std::string m_problem;

  /// @return member "code" of the error in the body; empty if there is none.
  std::string ErrorCode() const;

  /// @return whether a response with status 200 arrived.
  bool Succeeded() const { return m_delivery == Delivery::Answered && m_status == 200; }

  /// @return error message of one line for a response that did not succeed.
  std::string Explain() const;
};

/// Sends requests to the administration API of a VM.
class AdminClient
{
public:
  virtual ~AdminClient() = default;

  /// Sends a request without retrying it.
  /// @param aVm administration address of the VM, "host:port".
  /// @param aRequest request to send.
  virtual AdminClientResponse Send(const std::string& aVm, const AdminRequest& aRequest) = 0;
};

} // namespace jaylane::ctl
