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

/// @param aUrl complete URL.
/// @param aTimeout limit for the whole call.
/// @param aHeaders additional header lines, "Name: value".
/// @return the response, or nothing if the call failed or timed out.
std::optional<HttpClientResponse> HttpGet(const std::string& aUrl,
                                          std::chrono::milliseconds aTimeout,
                                          const std::vector<std::string>& aHeaders = {});

/// @param aUrl complete URL.
/// @param aBody sent with content type application/json, on a new connection.
/// @param aTimeout limit for the whole call.
/// @param aHeaders additional header lines, "Name: value".
/// @return the response, or nothing if the call failed or timed out.
std::optional<HttpClientResponse> HttpPost(const std::string& aUrl,
                                           const std::string& aBody,
                                           std::chrono::milliseconds aTimeout,
                                           const std::vector<std::string>& aHeaders = {});

} // namespace jaylane::testing
