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

/// What is known of an attempt.
enum class Outcome
{
  Completed,
  NotRun,
  Unknown,
};

/// @return "completed", "not-run" or "unknown".
const char* OutcomeName(Outcome aOutcome);

/// How much of the response is the caller's own.
enum class Integrity
{
  None,
  Whole,
  Cut,
  Mixed,
};

/// @return "none", "whole", "cut" or "mixed".
const char* IntegrityName(Integrity aIntegrity);

/// One logical request with its attempts, one at a time.
class CallerRequest
{
public:
  using Clock = std::chrono::steady_clock;

  /// @param aOptions outlives this.
  /// @param aId unique in a test run; the key unless a scope is added.
  CallerRequest(const CallerOptions& aOptions, RequestKind aKind, std::string aId, bool aCrash);
  ~CallerRequest();

  CallerRequest(const CallerRequest&) = delete;
  CallerRequest& operator=(const CallerRequest&) = delete;

  /// Prepares the handle of the next attempt.
  /// @param aLookup VMs to send to.
  /// @return the handle; its private pointer is this.
  CURL* Prepare(const LookupAnswer& aLookup);

  /// Evaluates the attempt.
  /// @param aCode result of the transfer.
  void Finish(CURLcode aCode);

  /// @return record of the attempt that has finished.
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

  /// Makes the next attempt of an order a new one. not-run is final for a key: the caller is free
  /// to place the order again under another key.
  void RenewKey();

  /// Makes the next attempt a deliberate repetition with a new deadline.
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
  const std::string m_name;
  std::string m_id;
  const bool m_crash;
  bool m_hasScope = false;
  bool m_resend = false;
  Clock::time_point m_created;
  Clock::time_point m_deadline;
  unsigned m_attempts = 0;

  // State of the current attempt.
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> m_handle;
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> m_headers;
  std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> m_hash;
  std::optional<ResponsePattern> m_pattern;
  std::string m_vm;
  std::string m_sentBody;
  std::uint64_t m_uploaded = 0;
  std::uint64_t m_received = 0;
  bool m_mismatch = false;
  std::string m_outcomeHeader;
  std::string m_refusedHeader;
  std::string m_upstreamHeader;
  std::string m_errorHeader;
  Clock::time_point m_started;
  double m_startedMillis = 0;

  // Result of the last attempt.
  CURLcode m_code = CURLE_OK;
  long m_status = 0;
  Clock::time_point m_finished;
  Outcome m_outcome = Outcome::NotRun;
  Integrity m_integrity = Integrity::None;
};

} // namespace jaylane::testing
