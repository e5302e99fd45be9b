#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::testing {

struct HttpClientResponse
{
  long m_status = 0;
  std::string m_body;
  /// Header lines as received.
  std::string m_headers;
};

/// @param aUrl whole URL.
/// @param aTimeout of the whole call.
/// @param aHeaders further header lines.
/// @return the reply, or nothing if there was none.
std::optional<HttpClientResponse> HttpGet(const std::string& aUrl,
                                          std::chrono::milliseconds aTimeout,
                                          const std::vector<std::string>& aHeaders = {});

/// @param aUrl whole URL.
/// @param aBody sent as JSON, on a connection of its own.
/// @param aTimeout of the whole call.
/// @param aHeaders further header lines.
/// @return the reply, or nothing if there was none.
std::optional<HttpClientResponse> HttpPost(const std::string& aUrl,
                                           const std::string& aBody,
                                           std::chrono::milliseconds aTimeout,
                                           const std::vector<std::string>& aHeaders = {});

} // namespace jaylane::testing
