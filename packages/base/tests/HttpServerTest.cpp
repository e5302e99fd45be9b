#include "jaylane/base/HttpServer.h"

#include <curl/curl.h>
#include <gtest/gtest.h>
#include <stdexcept>

namespace jaylane::base {
namespace {

struct ClientResponse
{
  CURLcode m_result = CURLE_OK;
  long m_status = 0;
};

ClientResponse Post(const HttpServer& aServer, const std::string& aPath, const std::string& aBody)
{
  CURL* curl = curl_easy_init();
  const std::string url = "http://" + aServer.Address().ToString() + aPath;
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aBody.data());
  curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
  ClientResponse response;
  response.m_result = curl_easy_perform(curl);
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.m_status);
  curl_easy_cleanup(curl);
  return response;
}

HttpResponse Handle(const HttpRequest& aRequest)
{
  if (aRequest.m_path == "/throw") {
    throw std::runtime_error("handler failed");
  }
  HttpResponse response;
  response.m_abort = aRequest.m_path == "/abort";
  response.m_status = aRequest.Query("a") == "b" ? 200 : 404;
  return response;
}

// Guards against a bad request or a failing handler that stops the server.
TEST(HttpServer, SurvivesOversizedBodiesFailuresAndAborts)
{
  HttpServer::Options options;
  options.m_bind = *SocketAddress::Parse("127.0.0.1:0");
  options.m_maxBodyBytes = 1000;
  auto server = HttpServer::Make(options, &Handle);
  ASSERT_TRUE(server);
  EXPECT_EQ(Post(**server, "/x?a=b", std::string(1000, 'x')).m_status, 200);
  EXPECT_EQ(Post(**server, "/x?a=b", std::string(200'000, 'x')).m_status, 413);
  EXPECT_EQ(Post(**server, "/throw", "").m_status, 500);
  EXPECT_EQ(Post(**server, "/abort", "").m_result, CURLE_GOT_NOTHING);
  EXPECT_EQ(Post(**server, "/x", "").m_status, 404);
  EXPECT_FALSE(HttpServer::Make({ (*server)->Address() }, &Handle));
}

} // namespace
} // namespace jaylane::base
