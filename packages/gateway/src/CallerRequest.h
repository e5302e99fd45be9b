#pragma once

#include "BodyMemoryBudget.h"
#include "jaylane/base/Clock.h"

#include <boost/beast/http/fields.hpp>
#include <memory>
#include <optional>
#include <string>

namespace jaylane::gateway {

/// A complete request of a caller, body included.
struct CallerRequest
{
  std::string m_id;
  std::string m_method;
  std::string m_target;
  std::string m_host;
  std::string m_affinityKey;
  /// API key of the caller; empty if it sent none or a malformed one. Must not be passed on or
  /// logged.
  std::optional<std::string> m_apiKey;
  /// Name of the caller's team for the upstream; empty if it has none.
  std::string m_team;
  /// End-to-end headers in the order of arrival, as header lines.
  std::string m_headerLines;
  std::string m_body;
  bool m_hasBody = false;
  std::shared_ptr<BodyMemoryBudget::Reservation> m_bodyReservation;
  /// How long the caller waits from m_receivedAt on.
  std::optional<std::chrono::milliseconds> m_timeout;
  /// When the first byte arrived. The caller waits while it sends a long body, too.
  base::MonotonicTime m_receivedAt;
};

/// A response to a caller, from an upstream or from the gateway itself.
struct CallerResponse
{
  unsigned m_status = 0;
  std::string m_reason;
  /// End-to-end headers as header lines.
  std::string m_headerLines;
  std::string m_body;
  std::shared_ptr<BodyMemoryBudget::Reservation> m_bodyReservation;
  /// Content-Length of the response to a HEAD request, which has no body.
  std::optional<std::string> m_headLength;
};

} // namespace jaylane::gateway
