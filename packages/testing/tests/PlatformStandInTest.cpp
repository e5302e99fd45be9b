#include "jaylane/testing/PlatformStandIn.h"

#include "jaylane/platform/HttpStore.h"
#include "jaylane/testing/HttpCall.h"

#include <gtest/gtest.h>
#include <thread>

namespace jaylane::testing {
namespace {

using platform::HttpStore;
using platform::PlatformErrc;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 5000 };
/// For calls that get no response; long enough to connect and send on a busy machine.
constexpr milliseconds kShortTimeout{ 300 };
/// Port of the discard service, which is reserved and on which nothing listens in the tests.
const std::string kClosedEndpoint = "http://127.0.0.1:9";

class PlatformStandInTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    auto standIn = PlatformStandIn::Make({});
    ASSERT_TRUE(standIn);
    m_standIn = std::move(*standIn);
    m_url = "http://" + m_standIn->Address();
  }

  void Control(const std::string& aJson)
  {
    const auto response = HttpPost(m_url + "/control", aJson, kTimeout);
    ASSERT_TRUE(response);
    ASSERT_EQ(response->m_status, 200);
  }

  std::unique_ptr<PlatformStandIn> m_standIn;
  std::string m_url;
};

// Guards against an HttpStore that loses versions, mangles keys with special characters or confuses
// the kinds of errors.
TEST_F(PlatformStandInTest, ConditionalWrites)
{
  HttpStore store({ m_url });
  const std::string key = "claim/a b%2F?&#.1";
  const auto created = store.Put(key, "{\"v\":1}", platform::kAbsent, kTimeout);
  ASSERT_TRUE(created);
  EXPECT_EQ(store.Put(key, "x", platform::kAbsent, kTimeout).GetError().m_code,
            PlatformErrc::Conflict);
  const auto updated = store.Put(key, "two", *created, kTimeout);
  ASSERT_TRUE(updated);
  EXPECT_GT(*updated, *created);
  const auto object = store.Get(key, kTimeout);
  ASSERT_TRUE(object);
  EXPECT_EQ(object->m_value, "two");
  EXPECT_EQ(object->m_version, *updated);
  EXPECT_EQ(store.List("claim/", kTimeout)->m_objects.size(), 1u);
  EXPECT_EQ(store.Delete(key, *created, kTimeout).GetError().m_code, PlatformErrc::Conflict);
  EXPECT_TRUE(store.Delete(key, *updated, kTimeout));
  EXPECT_EQ(store.Get(key, kTimeout).GetError().m_code, PlatformErrc::NotFound);
  const std::string large(platform::kMaxValueBytes + 1, 'x');
  EXPECT_EQ(store.Put("big", large, 0, kTimeout).GetError().m_code, PlatformErrc::TooLarge);
  EXPECT_TRUE(store.Put("big", large.substr(1), 0, kTimeout));
}

// Guards against reporting a write whose response was lost as not executed, and a refused or unsent
// write as possibly executed.
TEST_F(PlatformStandInTest, DistinguishesLostResponsesFromUnsentWrites)
{
  HttpStore store({ m_url });
  Control(R"({"lose_responses":1})");
  EXPECT_EQ(store.Put("k", "v", 0, kTimeout).GetError().m_code, PlatformErrc::Timeout);
  EXPECT_EQ(store.Get("k", kTimeout)->m_value, "v");
  Control(R"({"outage":true})");
  EXPECT_EQ(store.Put("k2", "v", 0, kTimeout).GetError().m_code, PlatformErrc::Unavailable);
  Control(R"({"outage":false,"slow_ms":30000})");
  EXPECT_EQ(store.Put("k3", "v", 0, kShortTimeout).GetError().m_code, PlatformErrc::Timeout);
  HttpStore unreachable({ kClosedEndpoint });
  EXPECT_EQ(unreachable.Put("k4", "v", 0, kTimeout).GetError().m_code, PlatformErrc::Unavailable);
}

// Guards against an HttpStore that fails although another endpoint can be reached.
TEST_F(PlatformStandInTest, FailsOverToNextEndpoint)
{
  HttpStore store({ kClosedEndpoint, m_url });
  EXPECT_TRUE(store.Put("k", "v", 0, kTimeout));
  EXPECT_TRUE(store.Get("k", kTimeout));
}

// Guards against repeated calls of an endpoint that does not respond.
TEST_F(PlatformStandInTest, AvoidsEndpointAfterTimeout)
{
  const auto silent = HttpServer::Make({},
                                       { nullptr,
                                         [](HttpRequest& aRequest) {
                                           aRequest.ClosedWithin(kTimeout);
                                           return HttpResponse{};
                                         },
                                         nullptr });
  ASSERT_TRUE(silent);
  HttpStore store({ "http://" + (*silent)->Address(), m_url });
  EXPECT_EQ(store.Put("k", "v", 0, kShortTimeout).GetError().m_code, PlatformErrc::Timeout);
  EXPECT_TRUE(store.Put("k", "v", 0, kTimeout));
}

// Guards against concurrent calls that share a handle or get each other's response.
TEST_F(PlatformStandInTest, ConcurrentCalls)
{
  HttpStore store({ m_url });
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < 4; ++i) {
    threads.emplace_back([&, i] {
      for (unsigned j = 0; j < 20; ++j) {
        const std::string key = std::to_string(i) + "/" + std::to_string(j);
        EXPECT_TRUE(store.Put(key, "value " + key, 0, kTimeout));
        const auto object = store.Get(key, kTimeout);
        EXPECT_TRUE(object && object->m_value == "value " + key);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(store.List("", kTimeout)->m_objects.size(), 80u);
}

// Guards against a watch that misses a change or deletion or blocks forever.
TEST_F(PlatformStandInTest, WatchReturnsChangesAndDeletions)
{
  HttpStore store({ m_url });
  const auto empty = store.Watch("t/", 0, milliseconds{ 1 }, kTimeout);
  ASSERT_TRUE(empty);
  EXPECT_TRUE(empty->m_changes.empty());
  std::thread writer([&] { ASSERT_TRUE(store.Put("t/a", "1", 0, kTimeout)); });
  const auto changed = store.Watch("t/", empty->m_revision, kTimeout, kTimeout);
  writer.join();
  ASSERT_TRUE(changed);
  ASSERT_EQ(changed->m_changes.size(), 1u);
  EXPECT_EQ(changed->m_changes[0].m_object.m_value, "1");
  ASSERT_TRUE(store.Delete("t/a", changed->m_changes[0].m_object.m_version, kTimeout));
  const auto deleted = store.Watch("t/", changed->m_revision, kTimeout, kTimeout);
  ASSERT_TRUE(deleted);
  ASSERT_EQ(deleted->m_changes.size(), 1u);
  EXPECT_TRUE(deleted->m_changes[0].m_deleted);
}

// Guards against a VM list that is visible before its lag has passed or altered in transit.
TEST_F(PlatformStandInTest, VmListLags)
{
  const std::string list =
    R"({"vms":[{"id":"e1","role":"entry","service":"","region":"r","zone":"z","address":"a:1",)"
    R"("peer_address":"a:2","admin_address":"a:3","state":"leaving","slots":2,)"
    R"("connections":3,"incarnation":"i"}]})";
  HttpStore store({ m_url });
  Control(R"({"vm_list_lag_ms":3600000})");
  ASSERT_EQ(HttpPost(m_url + "/control/vms", list, kTimeout)->m_status, 200);
  EXPECT_TRUE(store.ListVms(kTimeout)->m_vms.empty());
  Control(R"({"vm_list_lag_ms":0})");
  EXPECT_EQ(*store.ListVms(kTimeout), *platform::VmList::Parse(std::string_view(list)));
  EXPECT_EQ(HttpPost(m_url + "/control/vms", R"({"vms":[{"id":"e1"}]})", kTimeout)->m_status, 400);
}

} // namespace
} // namespace jaylane::testing
