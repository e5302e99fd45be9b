#include "jaylane/ctl/HttpAdminClient.h"

#include "jaylane/settings/JsonText.h"

#include <curl/curl.h>
#include <json/writer.h>
#include <memory>
#include <mutex>

namespace jaylane::ctl {

namespace {

/// Maximum size of a response, so that a faulty server cannot exhaust the memory.
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;

struct EasyDeleter
{
  void operator()(CURL* aEasy) const { curl_easy_cleanup(aEasy); }
};

struct ListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

using Easy = std::unique_ptr<CURL, EasyDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

void AddHeader(HeaderList& aList, const std::string& aHeader)
{
  curl_slist* extended = curl_slist_append(aList.get(), aHeader.c_str());
  if (extended) {
    (void)aList.release();
    aList.reset(extended);
  }
}

std::size_t AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  auto& body = *static_cast<std::string*>(aTarget);
  const std::size_t bytes = aSize * aCount;
  if (body.size() + bytes > kMaxResponseBytes) {
    return 0;
  }
  body.append(aData, bytes);
  return bytes;
}

/// @return whether the error means that the server has not received the request.
bool IsNotSent(CURLcode aCode)
{
  return aCode == CURLE_COULDNT_CONNECT || aCode == CURLE_COULDNT_RESOLVE_HOST ||
         aCode == CURLE_URL_MALFORMAT || aCode == CURLE_UNSUPPORTED_PROTOCOL;
}

AdminClientResponse MakeResponse(CURL* aEasy, CURLcode aCode, const std::string& aBody)
{
  AdminClientResponse response;
  if (aCode != CURLE_OK) {
    response.m_delivery = IsNotSent(aCode) ? Delivery::NotSent : Delivery::Lost;
    response.m_problem = curl_easy_strerror(aCode);
    return response;
  }
  long status = 0;
  curl_easy_getinfo(aEasy, CURLINFO_RESPONSE_CODE, &status);
  response.m_status = static_cast<int>(status);
  const base::Result<Json::Value> body = settings::ParseJson(aBody);
  if (!body || !body->isObject()) {
    response.m_delivery = Delivery::Lost;
    response.m_problem = "the response is not a JSON object";
    return response;
  }
  response.m_body = *body;
  response.m_delivery = Delivery::Answered;
  return response;
}

} // namespace

HttpAdminClient::HttpAdminClient(std::string aToken, std::chrono::milliseconds aTimeout)
  : m_token(std::move(aToken))
  , m_timeout(aTimeout)
{
  static std::once_flag sInitialized;
  std::call_once(sInitialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

HttpAdminClient::~HttpAdminClient() = default;

AdminClientResponse HttpAdminClient::Send(const std::string& aVm, const AdminRequest& aRequest)
{
  const Easy easy(curl_easy_init());
  if (!easy) {
    return { Delivery::NotSent, 0, {}, "out of memory" };
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  const std::string body =
    aRequest.m_body.isNull() ? "" : Json::writeString(builder, aRequest.m_body);
  const std::string url = "http://" + aVm + aRequest.m_path;
  HeaderList headers;
  AddHeader(headers, "Authorization: Bearer " + m_token);
  AddHeader(headers, "Content-Type: application/json");
  // Suppresses "Expect: 100-continue": libcurl would wait for the server before sending a large
  // body.
  AddHeader(headers, "Expect:");
  std::string responseBody;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(m_timeout.count()));
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &responseBody);
  if (aRequest.m_method == "POST") {
    curl_easy_setopt(easy.get(), CURLOPT_POST, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.c_str());
  }
  const CURLcode code = curl_easy_perform(easy.get());
  return MakeResponse(easy.get(), code, responseBody);
}

} // namespace jaylane::ctl
