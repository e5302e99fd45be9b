#include "jaylane/peer/PeerClient.h"

#include "JsonRpcCall.h"
#include "PeerProtocol.h"
#include "jaylane/peer/MessageCodec.h"
#include "jaylane/peer/PeerError.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <memory>
#include <utility>

namespace jaylane::peer {

namespace {

struct EasyDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

struct ListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aBody)
{
  auto* body = static_cast<std::string*>(aBody);
  if (body->size() + aSize * aCount > kMaxMessageBytes) {
    return 0;
  }
  body->append(aData, aSize * aCount);
  return aSize * aCount;
}

/// @return the calling thread's handle, which keeps its connections between calls.
CURL* ThreadHandle()
{
  thread_local std::unique_ptr<CURL, EasyDeleter> tHandle(curl_easy_init());
  curl_easy_reset(tHandle.get());
  return tHandle.get();
}

} // namespace

PeerClient::PeerClient(std::string aKey)
  : m_key(std::move(aKey))
{
}

bool PeerClient::Post(const base::SocketAddress& aPeer,
                      const std::string& aRequest,
                      std::string& aResponse,
                      std::chrono::milliseconds aTimeout)
{
  CURL* const handle = ThreadHandle();
  const std::string url = fmt::format("http://{}{}", aPeer.ToString(), kRpcPath);
  std::unique_ptr<curl_slist, ListDeleter> headers(
    curl_slist_append(nullptr, fmt::format("{}: {}", kKeyHeader, m_key).c_str()));
  curl_slist_append(headers.get(), "Content-Type: application/json");
  curl_slist_append(headers.get(), "Expect:");
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aRequest.data());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(aRequest.size()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &aResponse);
  const CURLcode code = curl_easy_perform(handle);
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  m_bytes += aRequest.size() + aResponse.size();
  return code == CURLE_OK && status == 200;
}

template<typename Response, typename Request>
base::Result<Response> PeerClient::Call(const base::SocketAddress& aPeer,
                                        const char* aMethod,
                                        const Request& aMessage,
                                        std::chrono::milliseconds aTimeout)
{
  bool sent = false;
  const auto send = [&](const std::string& aRequest, std::string& aResponse) {
    sent = Post(aPeer, aRequest, aResponse, aTimeout);
    return sent;
  };
  const auto result = detail::CallJsonRpc(send, aMethod, Encode(aMessage));
  if (!result.m_ok) {
    const auto code = sent ? PeerErrc::Refused : PeerErrc::NoResponse;
    return base::Error{ make_error_code(code), aPeer.ToString() };
  }
  return Decode<Response>(result.m_value);
}

base::Result<ExchangeMessage> PeerClient::Exchange(const base::SocketAddress& aPeer,
                                                   const ExchangeMessage& aMessage,
                                                   std::chrono::milliseconds aTimeout)
{
  return Call<ExchangeMessage>(aPeer, kExchange, aMessage, aTimeout);
}

base::Result<ProbeResponse> PeerClient::Probe(const base::SocketAddress& aPeer,
                                              const ProbeRequest& aMessage,
                                              std::chrono::milliseconds aTimeout)
{
  return Call<ProbeResponse>(aPeer, kProbe, aMessage, aTimeout);
}

base::Result<BorrowResponse> PeerClient::Borrow(const base::SocketAddress& aPeer,
                                                const BorrowRequest& aMessage,
                                                std::chrono::milliseconds aTimeout)
{
  return Call<BorrowResponse>(aPeer, kBorrow, aMessage, aTimeout);
}

base::Result<HandoverResponse> PeerClient::Handover(const base::SocketAddress& aPeer,
                                                    const HandoverRequest& aMessage,
                                                    std::chrono::milliseconds aTimeout)
{
  return Call<HandoverResponse>(aPeer, kHandover, aMessage, aTimeout);
}

} // namespace jaylane::peer
