#include "RecordingSync.h"
#include "TestStore.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <mutex>
#include <set>
#include <string>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;
using policy::StoreRevision;

/// A store with the configuration object "main", and objects of VMs, that returns from older
/// copies.
class RestorableStore
{
public:
  std::string Address() const { return m_store.Address(); }

  /// @param aStore revision of the store from now on.
  /// @param aObject revision of the object.
  void Set(std::uint64_t aStore, std::uint64_t aObject)
  {
    const std::lock_guard lock(m_mutex);
    m_revision = aStore;
    m_object = aObject;
  }

  /// Returns from an older copy.
  void Restore(std::uint64_t aStore, std::uint64_t aObject)
  {
    Set(aStore, aObject);
    const std::lock_guard lock(m_mutex);
    ++m_era;
  }

  void NameNoEra()
  {
    const std::lock_guard lock(m_mutex);
    m_namesEra = false;
  }

  /// Loses the objects of VMs.
  void ForgetVms()
  {
    const std::lock_guard lock(m_mutex);
    m_vms.clear();
  }

  std::size_t VmCount()
  {
    const std::lock_guard lock(m_mutex);
    return m_vms.size();
  }

  /// @return number of calls so far whose target has a part.
  std::size_t Calls(const std::string& aPart) const
  {
    const auto seen = m_store.Seen();
    return static_cast<std::size_t>(std::ranges::count_if(seen, [&](const SeenRequest& aRequest) {
      return aRequest.m_head.find(aPart) != std::string::npos;
    }));
  }

private:
  Script Serve(const SeenRequest& aRequest)
  {
    const std::lock_guard lock(m_mutex);
    const bool isForVms = aRequest.m_head.find("/3 ") != std::string::npos;
    Script script = isForVms ? ServeVms(aRequest) : ServeConfiguration(aRequest);
    if (m_namesEra) {
      script.m_bytes.insert(script.m_bytes.find("\r\n") + 2, fmt::format("Era: {}\r\n", m_era));
    }
    return script;
  }

  Script ServeVms(const SeenRequest& aRequest)
  {
    if (aRequest.m_head.starts_with("POST")) {
      m_vms.insert((*base::ParseJson(aRequest.m_body))["name"].asString());
      return Text("201 Created", "{}");
    }
    std::string objects;
    for (const std::string& vm : m_vms) {
      objects += fmt::format(
        R"({}{{"name":"{}","revision":1,"value":{{}}}})", objects.empty() ? "" : ",", vm);
    }
    return Text("200 OK", fmt::format(R"({{"revision":{},"objects":[{}]}})", m_revision, objects));
  }

  Script ServeConfiguration(const SeenRequest& aRequest) const
  {
    const std::size_t watch = aRequest.m_head.find("/watch/");
    const bool isWatch = watch != std::string::npos;
    const bool isConfiguration = aRequest.m_head.find("/0 ") != std::string::npos;
    const std::uint64_t since = isWatch ? std::stoull(aRequest.m_head.substr(watch + 7)) : 0;
    const bool isNews = isConfiguration && m_object > since;
    return Text(
      since > m_revision ? "410 Gone" : "200 OK",
      fmt::format(R"({{"revision":{},"objects":[{}]}})",
                  m_revision,
                  isNews ? fmt::format(R"({{"name":"main","revision":{},"value":1}})", m_object)
                         : ""),
      isWatch && since <= m_revision && !isNews ? 200ms : 0ms);
  }

  std::mutex m_mutex;
  std::uint64_t m_era = 1;
  std::uint64_t m_revision = 50;
  std::uint64_t m_object = 50;
  bool m_namesEra = true;
  std::set<std::string> m_vms;
  ScriptedUpstream m_store{ [this](const SeenRequest& aRequest) { return Serve(aRequest); } };
};

class StoreRestoreTest : public testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_TRUE(m_vm.WaitForRevision({ 50, 1 }, 5s));
    ASSERT_TRUE(m_vm.WaitUntilFollowing(5s));
  }

  RestorableStore m_store;
  const std::string m_address = FreeAddress();
  RecordingSync m_vm{ m_store.Address(), m_address };
};

// Guards against a VM that ignores all contents of a store whose revisions have gone back (CONFIG
// in review/6).
TEST_F(StoreRestoreTest, FollowsRevisionsThatHaveGoneBack)
{
  m_store.Restore(20, 15);
  EXPECT_TRUE(m_vm.WaitForRevision({ 15, 2 }, 2s));
  EXPECT_EQ(m_vm.Restores(), 1);
  m_store.Set(25, 25);
  EXPECT_TRUE(m_vm.WaitForRevision({ 25, 2 }, 2s));
}

// Guards against a VM that lists and watches by turns until the revisions have caught up.
TEST_F(StoreRestoreTest, ReadsTheStoreOnceAfterAReturn)
{
  std::this_thread::sleep_for(500ms);
  const std::size_t lists = m_store.Calls("/list/");
  m_store.Restore(20, 15);
  std::this_thread::sleep_for(2s);
  EXPECT_LE(m_store.Calls("/list/") - lists, 4U) << "the watched kinds, and the registered VMs";
}

// A watch from a known revision gets no 410 once the store has given out that revision anew. Guards
// against missing the changes before it.
TEST_F(StoreRestoreTest, ListsAnewIfTheRevisionWasGivenOutAnew)
{
  m_store.Restore(60, 45);
  EXPECT_TRUE(m_vm.WaitForRevision({ 45, 2 }, 2s));
}

// Guards against a VM that is still busy with one return when the next one comes.
TEST_F(StoreRestoreTest, FollowsAStoreThatReturnsTwice)
{
  m_store.Restore(40, 35);
  std::this_thread::sleep_for(100ms);
  m_store.Restore(20, 15);
  EXPECT_TRUE(m_vm.WaitForRevision({ 15, 3 }, 2s));
  m_store.Set(22, 22);
  EXPECT_TRUE(m_vm.WaitForRevision({ 22, 3 }, 2s));
}

// Guards against a VM that relies on others and does not take the lower revision of its peer.
TEST_F(StoreRestoreTest, ARelyingVmLearnsOfTheReturnFromAPeer)
{
  RestorableStore silent;
  RecordingSync relying(silent.Address(), FreeAddress());
  relying.Sync().SetRole(policy::StoreRole::Relying, false);
  ASSERT_TRUE(relying.WaitForRevision({ 50, 1 }, 5s));
  m_store.Restore(20, 15);
  ASSERT_TRUE(m_vm.WaitForRevision({ 15, 2 }, 2s));
  relying.Sync().OnPeerRevisions({ { 20, 2 }, { 50, 1 }, { 50, 1 } }, m_address);
  EXPECT_TRUE(relying.WaitForRevision({ 15, 2 }, 1s));
  EXPECT_EQ(relying.Restores(), 1);
}

// A VM that has not noticed the return announces the higher revision. Guards against taking it for
// the newer one, by which this VM would count as behind.
TEST_F(StoreRestoreTest, APeerOfTheEarlierEraIsNotAhead)
{
  m_store.Restore(20, 15);
  ASSERT_TRUE(m_vm.WaitForRevision({ 15, 2 }, 2s));
  m_vm.Sync().OnPeerRevisions({ { 70, 1 }, { 70, 1 }, { 70, 1 } }, "127.0.0.1:1");
  std::this_thread::sleep_for(300ms);
  EXPECT_EQ(m_vm.UpstreamsBehindFor(), 0ms);
}

// A store that names no era goes back all the same. Guards against calls without a pause, which
// would use up the rate of calls that all VMs share.
TEST_F(StoreRestoreTest, AStoreThatGoesBackUnannouncedIsCalledWithBackoff)
{
  m_store.NameNoEra();
  m_store.Set(20, 15);
  std::this_thread::sleep_for(2s);
  constexpr std::size_t kKinds = 3;
  constexpr std::size_t kMaxListsPerKind = 10; // Those with delays of 100 to 800 ms, with a margin.
  EXPECT_LE(m_store.Calls("/list/"), kKinds * kMaxListsPerKind);
  m_store.Set(60, 55);
  EXPECT_TRUE(m_vm.WaitForRevision({ 55, 1 }, 3s));
}

// Guards against a probe, which is a list of the evacuated zones, after each list that the store
// has answered with an older copy.
TEST_F(StoreRestoreTest, AnswersWithAnOlderCopyCauseNoProbes)
{
  m_store.NameNoEra();
  m_store.Set(20, 15);
  std::this_thread::sleep_for(2s);
  constexpr std::size_t kMaxLists = 10; // As in the test above.
  EXPECT_LE(m_store.Calls("/list/2"), kMaxLists);
}

// VMs that start read the objects of all VMs, and divide bounds by their number. Guards against a
// VM whose object is lost for good, and against writes that are not needed.
TEST_F(StoreRestoreTest, AVmRegistersAgainIfTheCopyLacksIt)
{
  ASSERT_EQ(m_store.VmCount(), 1U);
  m_store.Restore(20, 15);
  std::this_thread::sleep_for(5500ms);
  EXPECT_EQ(m_store.Calls("POST "), 1U) << "the copy has its object";
  m_store.ForgetVms();
  m_store.Restore(10, 8);
  std::this_thread::sleep_for(5500ms);
  EXPECT_EQ(m_store.VmCount(), 1U);
  EXPECT_EQ(m_store.Calls("POST "), 2U);
}

} // namespace
} // namespace jaylane::gateway
