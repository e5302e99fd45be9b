#pragma once

#include "LookupCache.h"

#include "jaylane/testing/CallerOptions.h"
#include "jaylane/testing/ResponsePattern.h"

#include <chrono>
#include <cstdint>
#include <curl/curl.h>
#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <xxhash.h>

namespace jaylane::testing {

/// Whether an attempt was executed, as far as the caller can tell.
enum class Outcome
{
  Completed,
  NotRun,
  Unknown,
};

/// @return "completed", "not-run" or "unknown".
const char* OutcomeName(Outcome aOutcome);

/// Result of the comparison of the response body with the expected one.
enum class Integrity
{
  /// No response with status 200.
  None,
  /// Complete and correct.
  Whole,
  /// Correct so far, but truncated.
  Cut,
  /// Contains bytes that do not belong to this response.
  Mixed,
};

/// @return "none", "whole", "cut" or "mixed".
const char* IntegrityName(Integrity aIntegrity);

/// A logical request; its attempts are made one at a time.
class CallerRequest
{
public:
  using Clock = std::chrono::steady_clock;

  /// @param aOptions outlives this.
  /// @param aId unique in a test run. Also the request key, to which a scope may be added.
  /// @param aCrashUpstream whether the upstream that executes the request shall crash.
  CallerRequest(const CallerOptions& aOptions,
                RequestKind aKind,
                std::string aId,
                bool aCrashUpstream);
  ~CallerRequest();

  CallerRequest(const CallerRequest&) = delete;
  CallerRequest& operator=(const CallerRequest&) = delete;

  /// Creates the libcurl handle of the next attempt.
  /// @param aLookup entry VMs to choose from; attempts use them in turn.
  /// @return the handle, owned by this and valid until FinishAttempt().
  CURL* PrepareAttempt(const LookupResponse& aLookup);

  /// Classifies the current attempt by outcome and integrity.
  /// @param aCode result of the transfer.
  void FinishAttempt(CURLcode aCode);

  /// @return record of the last finished attempt.
  Json::Value Record() const;

  bool Expired(Clock::time_point aNow) const { return aNow >= m_deadline; }
  Clock::time_point Deadline() const { return m_deadline; }
  Clock::duration Latency(Clock::time_point aNow) const { return aNow - m_created; }
  RequestKind Kind() const { return m_kind; }
  unsigned Attempts() const { return m_attempts; }
  Outcome LastOutcome() const { return m_outcome; }
  Integrity LastIntegrity() const { return m_integrity; }
  std::uint64_t ReceivedBytes() const { return m_received; }
  bool IsResend() const { return m_resend; }

  /// Gives an order a new key for its next attempt: not-run is a final outcome of a key, so a retry
  /// needs another one. Other kinds keep their id.
  void RenewKey();

  /// Makes the next attempt a deliberate repetition of a finished order, with the same key and a
  /// new deadline.
  void MarkResend();

private:
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static std::size_t OnUpload(char* aBuffer, std::size_t aSize, std::size_t aCount, void* aSelf);
  void PrepareHeaders();
  void PrepareBody();
  void Verify(const char* aData, std::size_t aBytes);
  Outcome Classify(CURLcode aCode) const;
  std::string Path() const;
  std::string Method() const;

  const CallerOptions& m_options;
  const RequestKind m_kind;
  const std::string m_baseId;
  std::string m_id;
  const bool m_crashUpstream;
  bool m_hasScope = false;
  bool m_resend = false;
  Clock::time_point m_created;
  Clock::time_point m_deadline;
  unsigned m_attempts = 0;

  // State of the current attempt.
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> m_handle;
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> m_headers;
  std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> m_bodyHash;
  std::optional<ResponsePattern> m_expectedBody;
  std::string m_vm;
  std::string m_orderBody;
  std::uint64_t m_uploaded = 0;
  std::uint64_t m_received = 0;
  bool m_mismatch = false;
  std::string m_outcomeHeader;
  std::string m_refusedHeader;
  std::string m_upstreamHeader;
  std::string m_errorHeader;
  Clock::time_point m_attemptStarted;
  double m_attemptStartedMillis = 0;

  // Result of the last attempt.
  CURLcode m_code = CURLE_OK;
  long m_status = 0;
  Clock::time_point m_attemptFinished;
  Outcome m_outcome = Outcome::NotRun;
  Integrity m_integrity = Integrity::None;
};

} // namespace jaylane::testing
