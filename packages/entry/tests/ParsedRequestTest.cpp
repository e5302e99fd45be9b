#include "ParsedRequest.h"

#include "TestContext.h"
#include "TestTree.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

class ParsedRequestTest : public testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(m_state.Apply(TestDocument(1))); }

  std::variant<ParsedRequest, RequestResult> Parse(const std::string& aMethod,
                                                   const std::string& aTarget,
                                                   std::vector<proxy::Header> aHeaders)
  {
    proxy::RequestHead head;
    head.m_method = aMethod;
    head.m_target = aTarget;
    head.m_clientHost = "10.1.0.1";
    for (proxy::Header& header : aHeaders) {
      head.m_headers.Add(header.m_name, header.m_value);
    }
    const proxy::Exchange exchange(head, m_test.m_clock.Monotonic());
    return ParseRequest(m_state.Current(), m_test.m_context, exchange);
  }

  std::string ErrorOf(const std::string& aMethod,
                      const std::string& aTarget,
                      std::vector<proxy::Header> aHeaders)
  {
    const auto parsed = Parse(aMethod, aTarget, std::move(aHeaders));
    const auto* result = std::get_if<RequestResult>(&parsed);
    EXPECT_TRUE(!result || result->m_outcome == Outcome::NotRun);
    return result ? result->m_error : "";
  }

  TestContext m_test;
  ConfigState m_state{ m_test.m_context };
};

// Guards against non-idempotent requests that run without a key, so more than once.
TEST_F(ParsedRequestTest, NonIdempotentRequestsNeedAKey)
{
  EXPECT_EQ(ErrorOf("POST", "/s/svc/x", {}), "key-required");
  EXPECT_EQ(ErrorOf("GET", "/s/svc/x", { { kIdempotentHeader, "false" } }), "key-required");
  EXPECT_EQ(ErrorOf("POST", "/s/svc/x", { { kKeyHeader, "scope.with.dots" } }), "malformed-key");
  EXPECT_EQ(ErrorOf("POST", "/s/svc/x", { { kKeyHeader, "chosen-1" } }), "");
  EXPECT_EQ(ErrorOf("GET", "/s/svc/x", {}), "");
  EXPECT_EQ(ErrorOf("POST", "/s/reads/x", {}), "");
}

// Guards against malformed input that is interpreted instead of refused.
TEST_F(ParsedRequestTest, RefusesMalformedInput)
{
  EXPECT_EQ(ErrorOf("GET", "/s/other/x", {}), "unknown-service");
  EXPECT_EQ(ErrorOf("GET", "/s/", {}), "unknown-service");
  EXPECT_EQ(ErrorOf("GET", "/s/svc", { { kDeadlineHeader, "soon" } }), "malformed-header");
  EXPECT_EQ(ErrorOf("GET", "/s/svc", { { kDeadlineHeader, "-1" } }), "malformed-header");
  EXPECT_EQ(ErrorOf("GET", "/s/svc", { { kIdempotentHeader, "maybe" } }), "malformed-header");
  EXPECT_EQ(ErrorOf("GET", "/s/svc", { { kCallerHeader, "10.9.9.9" } }), "unknown-origin");
}

// Guards against callers that impersonate an entry VM.
TEST_F(ParsedRequestTest, ForwardedRequestsNeedThePeerKey)
{
  EXPECT_EQ(ErrorOf("GET", "/s/svc/x", { { kForwardedHeader, "0123456789abcdeg" } }), "not-a-peer");
  EXPECT_EQ(ErrorOf("GET", "/s/svc/x", { { kForwardedHeader, "" } }), "not-a-peer");
  const auto parsed = Parse("GET", "/s/svc/x", { { kForwardedHeader, "0123456789abcdef" } });
  ASSERT_TRUE(std::holds_alternative<ParsedRequest>(parsed));
  EXPECT_TRUE(std::get<ParsedRequest>(parsed).m_admitted);
}

// Guards against a deadline longer than the service's timeout, which slot leases rely on.
TEST_F(ParsedRequestTest, DeadlineIsBoundedByTheTimeout)
{
  for (const auto& [text, expected] : { std::pair{ "1000", 1000 }, std::pair{ "900000", 5000 } }) {
    const auto parsed = Parse("GET", "/s/svc/x?a=b", { { kDeadlineHeader, text } });
    const auto& request = std::get<ParsedRequest>(parsed);
    EXPECT_EQ(request.m_deadline - m_test.m_clock.Monotonic(),
              std::chrono::milliseconds{ expected });
    EXPECT_EQ(request.m_upstreamTarget, "/x?a=b");
  }
}

// Guards against jaylane's own headers, such as keys and the peer key, leaking to upstreams.
TEST_F(ParsedRequestTest, OwnAndHopByHopHeadersAreNotPassedOn)
{
  proxy::HeaderList headers;
  headers.Add("Jaylane-Forwarded", "secret");
  headers.Add("Connection", "close");
  headers.Add("X-App", "1");
  const auto passed = UpstreamHeaders(headers);
  ASSERT_EQ(passed.Fields().size(), 1u);
  EXPECT_EQ(passed.Fields()[0].m_name, "X-App");
}

} // namespace
} // namespace jaylane::entry
