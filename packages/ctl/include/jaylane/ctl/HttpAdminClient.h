#pragma once

#include "jaylane/ctl/AdminClient.h"

#include <chrono>
#include <string>

namespace jaylane::ctl {

/// AdminClient over HTTP. Opens a connection for each request, because libcurl sends a request
/// again on its own if a reused connection turns out to be closed.
class HttpAdminClient final : public AdminClient
{
public:
  /// @param aToken bearer token.
  /// @param aTimeout timeout of a request, including the response.
  HttpAdminClient(std::string aToken, std::chrono::milliseconds aTimeout);
  ~HttpAdminClient() override;

  AdminClientResponse Send(const std::string& aVm, const AdminRequest& aRequest) override;

private:
  const std::string m_token;
  const std::chrono::milliseconds m_timeout;
};

} // namespace jaylane::ctl
