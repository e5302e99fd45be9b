#pragma once

#include "CallerRequest.h"
#include "UpstreamConnectionPool.h"
#include "jaylane/gateway/WireFormat.h"
#include "jaylane/policy/ServiceBalancer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace jaylane::gateway {

/// How an attempt ended.
struct AttemptResult
{
  /// Empty if the upstream responded.
  std::optional<policy::AttemptFailure> m_failure;
  /// No byte of a response arrived before the connection ended; the upstream may have crashed.
  bool m_endedSilently = false;
  /// The upstream's own rejection, or the response.
  CallerResponse m_response;
  bool m_isSigned = false;
  std::optional<policy::LoadReport> m_load;
  std::chrono::nanoseconds m_latency{ 0 };
};

/// One request sent to one upstream: connects or reuses a connection, sends, reads the response.
///
/// A response counts only if it is complete and bears the request's id; one with another id is a
/// late response to an earlier request on the connection and is skipped.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt>
{
public:
  using Done = std::function<void(AttemptResult)>;

  struct Parts
  {
    boost::asio::io_context& m_io;
    UpstreamConnectionPool& m_pool;
    const base::Clock& m_clock;
    const WireFormat& m_wire;
    BodyMemoryBudget& m_bodyBudget;
  };

  /// @param aRequest outlives the attempt.
  /// @param aRemaining sent to the upstream as its time limit.
  UpstreamAttempt(const Parts& aParts,
                  const policy::Upstream& aUpstream,
                  std::shared_ptr<const CallerRequest> aRequest,
                  std::chrono::milliseconds aRemaining,
                  Done aDone);

  void Start();

  /// Ends the attempt without a result; the upstream sees its connection close.
  void Cancel();

  /// @return whether any byte of the request may have reached the upstream.
  bool WasSent() const { return m_sent; }
  const std::string& UpstreamId() const { return m_upstreamId; }
  base::MonotonicTime StartedAt() const { return m_startedAt; }

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Send();
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  bool Consume();
  bool HoldBody();
  void OnHeader();
  void OnComplete();
  void StartParser();
  bool IsForThisRequest() const;
  void Fail(policy::AttemptFailure aFailure);
  void Finish(AttemptResult aResult);
  AttemptResult TakeResponse();
  std::string RequestHead() const;
  void KeepConnection(const Parser::value_type& aMessage, bool aNeedsEnd);

  Parts m_parts;
  std::string m_upstreamId;
  std::string m_address;
  std::shared_ptr<const CallerRequest> m_request;
  std::chrono::milliseconds m_remaining;
  Done m_done;
  std::unique_ptr<UpstreamConnection> m_connection;
  boost::asio::steady_timer m_connectTimer;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::shared_ptr<BodyMemoryBudget::Reservation> m_bodyReservation;
  std::string m_head;
  base::MonotonicTime m_startedAt;
  bool m_sent = false;
  bool m_written = false;
  bool m_gotBytes = false;
  bool m_ended = false;
};

} // namespace jaylane::gateway
