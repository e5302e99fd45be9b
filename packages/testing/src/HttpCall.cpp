#include "jaylane/testing/HttpCall.h"

#include <curl/curl.h>
#include <memory>

namespace jaylane::testing {

namespace {

std::size_t Append(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

std::optional<HttpClientResponse> Call(const std::string& aUrl,
                                       const std::string* aBody,
                                       std::chrono::milliseconds aTimeout,
                                       const std::vector<std::string>& aHeaders)
{
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  list = curl_slist_append(list, "Content-Type: application/json");
  for (const std::string& header : aHeaders) {
    list = curl_slist_append(list, header.c_str());
  }
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(list,
                                                                            &curl_slist_free_all);
  HttpClientResponse response;
  curl_easy_setopt(handle.get(), CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.m_body);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &Append);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &response.m_headers);
  if (aBody) {
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, aBody->data());
    curl_easy_setopt(
      handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aBody->size()));
  }
  if (curl_easy_perform(handle.get()) != CURLE_OK) {
    return std::nullopt;
  }
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &response.m_status);
  return response;
}

} // namespace

std::optional<HttpClientResponse> HttpGet(const std::string& aUrl,
                                          std::chrono::milliseconds aTimeout,
                                          const std::vector<std::string>& aHeaders)
{
  return Call(aUrl, nullptr, aTimeout, aHeaders);
}

std::optional<HttpClientResponse> HttpPost(const std::string& aUrl,
                                           const std::string& aBody,
                                           std::chrono::milliseconds aTimeout,
                                           const std::vector<std::string>& aHeaders)
{
  return Call(aUrl, &aBody, aTimeout, aHeaders);
}

} // namespace jaylane::testing
