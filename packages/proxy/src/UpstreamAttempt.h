#pragma once

#include "jaylane/proxy/UpstreamTransport.h"

#include <array>
#include <curl/curl.h>

namespace jaylane::proxy::detail {

/// One attempt: a libcurl transfer with its callbacks, which run on a transport thread.
class UpstreamAttempt
{
public:
  UpstreamAttempt(std::shared_ptr<Exchange> aExchange,
                  AttemptSpec aSpec,
                  UpstreamTransport::Done aDone,
                  const base::Clock& aClock);
  ~UpstreamAttempt();

  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  /// Prepares the transfer.
  /// @param aThrottled receives the handle when the upload has to wait for an allowance.
  /// @return false if the deadline has passed.
  bool Begin(std::vector<CURL*>& aThrottled);

  bool Started() const { return m_easy != nullptr; }
  CURL* Handle() const { return m_easy; }
  Exchange& GetExchange() { return *m_exchange; }

  /// Reports the outcome of a transfer that is no longer in progress.
  void Finish(CURLcode aCode);

  /// Reports an attempt whose transfer was not started.
  void ReportNotSent(std::string aDetail);

  /// Set while the command ring contains a wake-up of this attempt.
  std::atomic<bool> m_wakePending{ false };

private:
  void SetUploadOptions();
  void SetRequestOptions(std::chrono::milliseconds aTimeout);
  std::chrono::milliseconds Remaining() const;
  AttemptResult Classify(CURLcode aCode) const;
  bool SentNothing() const;
  /// @return number of bytes that may be sent now; if 0, the attempt was added to the
  ///   throttled list.
  std::size_t TakeAllowance(std::size_t aReady);
  /// Classifies the response head and forwards it to the exchange if it is valid.
  /// @return false to abort the transfer.
  bool CommitHead();
  void ParseStatusLine(std::string_view aLine);
  size_t HandleHeaderLine(std::string_view aLine);

  static size_t OnRead(char* aTarget, size_t aSize, size_t aCount, void* aSelf);
  static size_t OnWrite(char* aData, size_t aSize, size_t aCount, void* aSelf);
  static size_t OnHeader(char* aData, size_t aSize, size_t aCount, void* aSelf);
  static int OnPreRequest(void* aSelf, char*, char*, int, int);

  const std::shared_ptr<Exchange> m_exchange;
  const AttemptSpec m_spec;
  const UpstreamTransport::Done m_done;
  const base::Clock& m_clock;
  const base::MonotonicTime m_startedAt;

  CURL* m_easy = nullptr;
  curl_slist* m_headerLines = nullptr;
  std::array<char, CURL_ERROR_SIZE> m_errorText{};
  std::vector<CURL*>* m_throttled = nullptr;
  /// Bytes of the last upload allowance that are left.
  std::size_t m_allowance = 0;
  std::uint64_t m_uploadOffset = 0;
  bool m_sendAllowed = false;
  bool m_callerGone = false;

  std::size_t m_headerBytes = 0;
  ResponseHead m_head;
  bool m_chunked = false;
  bool m_committed = false;
  ResponseDisposition m_disposition = ResponseDisposition::Forward;
};

} // namespace jaylane::proxy::detail
