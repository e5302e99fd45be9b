#include "AdminServer.h"

#include "jaylane/base/HybridClock.h"
#include "jaylane/platform/FakeStore.h"
#include "jaylane/settings/JsonText.h"

#include <curl/curl.h>
#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

using platform::StoreCall;
using platform::StoreFault;

constexpr const char* kToken = "test-write-token-0123";

struct Response
{
  long m_status = 0;
  Json::Value m_body;
};

std::size_t Append(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  static_cast<std::string*>(aTarget)->append(aData, aSize * aCount);
  return aSize * aCount;
}

settings::VmSettings MakeSettings()
{
  settings::VmSettings settings;
  settings.m_id = "vm-1";
  settings.m_region = "north";
  settings.m_zone = "north-a";
  settings.m_adminAddress = { "127.0.0.1", 0 };
  settings.m_adminTokens = { { "writer", kToken, settings::AdminRole::Write } };
  return settings;
}

/// Runs the administration API on a store with injected faults.
class AdminServerTest : public ::testing::Test
{
protected:
  AdminServerTest()
    : m_settings(MakeSettings())
    , m_log("vm-1", m_clock, m_settings.m_logLevel)
    , m_hybridClock(m_clock)
    , m_events("vm-1", m_hybridClock, 3000)
    , m_context{ m_settings, m_clock, m_log, m_hybridClock,
                 m_events,   {},      "1",   { "north", "north-a" } }
    , m_config(m_context)
  {
    const auto forecast = [](const settings::SettingsDocument&) { return Json::Value(); };
    auto server =
      AdminServer::Make(m_context,
                        m_store,
                        m_config,
                        { [] { return Json::Value(); }, [] { return Json::Value(); }, forecast });
    EXPECT_TRUE(server);
    m_server = std::move(*server);
  }

  /// @param aBody sent by POST unless empty.
  Response Send(const std::string& aPath, const std::string& aBody = {})
  {
    const std::string url = "http://" + m_server->Address().ToString() + aPath;
    const std::string header = std::string("Authorization: Bearer ") + kToken;
    std::string text;
    Response response;
    CURL* easy = curl_easy_init();
    curl_slist* headers = curl_slist_append(nullptr, header.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, 20L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Append);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &text);
    if (!aBody.empty()) {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, aBody.c_str());
    }
    EXPECT_EQ(curl_easy_perform(easy), CURLE_OK);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response.m_status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    const auto json = settings::ParseJson(text);
    EXPECT_TRUE(json) << text;
    response.m_body = json ? *json : Json::Value();
    return response;
  }

  Response Edit()
  {
    return Send("/v1/edits",
                R"({"id":"e1","base_generation":0,)"
                R"("path":"/","key":"retry_attempts","value":3})");
  }

  base::ManualClock m_clock;
  const settings::VmSettings m_settings;
  const base::Log m_log;
  base::HybridClock m_hybridClock;
  base::EventLog m_events;
  const VmContext m_context;
  platform::FakeStore m_store;
  ConfigState m_config;
  std::unique_ptr<AdminServer> m_server;
};

// Guards against an edit that took effect but is reported as not written, because the response of
// the write is lost and reading back fails.
TEST_F(AdminServerTest, ReportsUnknownIfReadingBackFails)
{
  bool lost = false;
  m_store.SetFaultHook([&](StoreCall aCall) {
    if (lost) {
      return StoreFault::Refused;
    }
    lost = aCall == StoreCall::Put;
    return lost ? StoreFault::LostResponse : StoreFault::None;
  });
  const Response response = Edit();
  EXPECT_EQ(response.m_status, 504);
  EXPECT_EQ(response.m_body["error"]["code"], "unknown");
  m_store.SetFaultHook(nullptr);
  const Response status = Send("/v1/edits/e1?base_generation=0");
  EXPECT_EQ(status.m_body["outcome"], "accepted");
}

// Guards against an edit that is applied twice, or reported as lost, after a lost response.
TEST_F(AdminServerTest, FindsItsWriteAfterALostResponse)
{
  m_store.LoseResponses(1);
  const Response response = Edit();
  EXPECT_EQ(response.m_status, 200);
  EXPECT_EQ(response.m_body["generation"].asUInt64(), 1u);
}

// Guards against an edit that is reported as uncertain although it cannot have taken effect.
TEST_F(AdminServerTest, ReportsAnOutageAsNotWritten)
{
  m_store.SetOutage(true);
  const Response response = Edit();
  EXPECT_EQ(response.m_status, 503);
  EXPECT_EQ(response.m_body["error"]["code"], "store-unavailable");
}

// Guards against a write that arrives late and overwrites, or repeats, the same edit.
TEST_F(AdminServerTest, AppliesALateWriteOnce)
{
  bool late = false;
  m_store.SetFaultHook([&](StoreCall aCall) {
    const bool now = aCall == StoreCall::Put && !late;
    late = late || now;
    return now ? StoreFault::Late : StoreFault::None;
  });
  EXPECT_EQ(Edit().m_status, 200);
  EXPECT_EQ(Edit().m_body["repeated"], true);
  EXPECT_EQ(Send("/v1/settings").m_body["generation"].asUInt64(), 1u);
}

// Guards against a timeline that clients cannot read in pages.
TEST_F(AdminServerTest, PagesTheTimeline)
{
  for (int i = 0; i < 1500; ++i) {
    m_events.Record("test");
  }
  const Response first = Send("/v1/timeline?after=0");
  EXPECT_EQ(first.m_body["events"].size(), 1000u);
  const std::string last = first.m_body["last"].asString();
  const Response second = Send("/v1/timeline?after=" + last);
  EXPECT_EQ(second.m_body["events"].size(), 500u);
  const Response third = Send("/v1/timeline?after=" + second.m_body["last"].asString());
  EXPECT_EQ(third.m_body["events"].size(), 0u);
  EXPECT_EQ(third.m_body["last"], second.m_body["last"]);
}

// Guards against a VM without settings that shows an empty tree as if it were the accepted one.
TEST_F(AdminServerTest, HasNoSettingsAtFirst)
{
  for (const char* path : { "/v1/settings", "/v1/settings/effective?path=/", "/v1/history" }) {
    const Response response = Send(path);
    EXPECT_EQ(response.m_status, 503) << path;
    EXPECT_EQ(response.m_body["error"]["code"], "no-settings") << path;
  }
  EXPECT_EQ(Send("/v1/nothing").m_body["error"]["code"], "not-found");
}

} // namespace
} // namespace jaylane::entry
