#pragma once

#include "jaylane/ctl/AdminClient.h"

#include <chrono>
#include <string>

namespace jaylane::ctl {

/// AdminClient over HTTP. A new connection for each request, so that libcurl never sends a
/// request a second time on its own.
class HttpAdminClient final : public AdminClient
{
public:
  /// @param aToken bearer token.
  /// @param aTimeout longest duration of a request.
  HttpAdminClient(std::string aToken, std::chrono::milliseconds aTimeout);
  ~HttpAdminClient() override;

  AdminReply Send(const std::string& aVm, const AdminRequest& aRequest) override;

private:
  const std::string m_token;
  const std::chrono::milliseconds m_timeout;
};

} // namespace jaylane::ctl
