#include "StoreSync.h"

#include "RecordingSync.h"
#include "TestStore.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>
#include <thread>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

Script RefuseAll(const SeenRequest&)
{
  return Text("503 Service Unavailable", "");
}

/// Serves one configuration object; responses to watches are delayed.
Script ServeOne(const SeenRequest& aRequest)
{
  const bool isConfiguration = aRequest.m_head.find("/list/0") != std::string::npos;
  const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
  const std::string objects =
    isConfiguration ? R"([{"name":"main","revision":7,"value":{"a":1}}])" : "[]";
  return Text(
    "200 OK", fmt::format(R"({{"revision":9,"objects":{}}})", objects), isWatch ? 2000ms : 0ms);
}

// The store rejects the calls of one VM but serves its peers. Guards against a VM that stays
// without a configuration, or keeps an old one.
TEST(StoreSyncTest, AdoptsTheSnapshotOfAPeerWhileTheStoreRefuses)
{
  ScriptedUpstream working(ServeOne);
  ScriptedUpstream refusing(RefuseAll);
  const std::string servedAddress = FreeAddress();
  RecordingSync served(working.Address(), servedAddress);
  ASSERT_TRUE(served.WaitForConfiguration(5s));
  RecordingSync refused(refusing.Address(), FreeAddress());
  EXPECT_FALSE(refused.WaitForConfiguration(600ms));
  refused.Sync().SetPeers({ servedAddress });
  ASSERT_TRUE(refused.WaitForConfiguration(5s));
  const auto objects = refused.Configurations();
  ASSERT_EQ(objects.size(), 1U);
  EXPECT_EQ(objects[0].m_name, "main");
  EXPECT_EQ(objects[0].m_revision, 7U);
  EXPECT_EQ((*objects[0].m_value)["a"].asInt(), 1);
}

// Guards against a VM that ends, or watches no more, after one response caused an error.
TEST(StoreSyncTest, GoesOnAfterAnUnexpectedError)
{
  std::atomic<bool> hasFailed{ false };
  ScriptedUpstream store([&hasFailed](const SeenRequest& aRequest) {
    if (aRequest.m_head.find("/watch/9/0") != std::string::npos) {
      hasFailed = true;
      return Text("200 OK", "unexpected");
    }
    const bool isConfiguration = aRequest.m_head.find("/list/0") != std::string::npos;
    const std::uint64_t revision = isConfiguration && hasFailed ? 10 : 9;
    const std::string objects =
      isConfiguration ? fmt::format(R"([{{"name":"main","revision":{},"value":1}}])", revision)
                      : "[]";
    const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
    return Text("200 OK",
                fmt::format(R"({{"revision":{},"objects":{}}})", revision, objects),
                isWatch ? 2000ms : 0ms);
  });
  RecordingSync vm(store.Address(), FreeAddress());
  EXPECT_TRUE(vm.WaitForRevision(10, 8s));
}

/// A store with one configuration object.
/// @param aObject revision of the object; the store's own is three higher.
/// @param aWatch delay before a watch returns a change.
/// @param aChange revision of the change.
ScriptedUpstream::Handler ServeRevision(std::uint64_t aObject,
                                        std::chrono::milliseconds aWatch,
                                        std::uint64_t aChange = 8)
{
  return [aObject, aWatch, aChange](const SeenRequest& aRequest) {
    const bool isConfiguration = aRequest.m_head.find("/0 ") != std::string::npos;
    const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
    const std::uint64_t object = isWatch ? aChange : aObject;
    const std::string objects =
      isConfiguration ? fmt::format(R"([{{"name":"main","revision":{},"value":1}}])", object)
                      : "[]";
    return Text("200 OK",
                fmt::format(R"({{"revision":{},"objects":{}}})", object + 3, objects),
                isWatch ? aWatch : 0ms);
  };
}

std::size_t ConfigurationLists(const ScriptedUpstream& aStore)
{
  const auto seen = aStore.Seen();
  return static_cast<std::size_t>(std::ranges::count_if(seen, [](const SeenRequest& aRequest) {
    return aRequest.m_head.find("/list/0 ") != std::string::npos;
  }));
}

// The watch of one VM delivers nothing for a while, but the store serves its peers. Guards against
// keeping the old configuration until the watch times out, and against going back to it when the
// delayed response arrives.
TEST(StoreSyncTest, LearnsOfAChangeFromAPeerWhileItsWatchIsSilent)
{
  ScriptedUpstream working(ServeRevision(12, 5000ms));
  ScriptedUpstream silent(ServeRevision(7, 1800ms));
  const std::string servedAddress = FreeAddress();
  RecordingSync served(working.Address(), servedAddress);
  ASSERT_TRUE(served.WaitForRevision(12, 5s));
  RecordingSync behind(silent.Address(), FreeAddress());
  ASSERT_TRUE(behind.WaitForRevision(7, 5s));
  behind.Sync().SetPeers({ servedAddress });
  ASSERT_TRUE(behind.WaitUntilFollowing(5s));
  behind.Sync().OnPeerRevisions({ 12, 0, 0 }, servedAddress);
  EXPECT_TRUE(behind.WaitForRevision(12, 1500ms));
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(behind.Configurations().front().m_revision, 12U);
  EXPECT_EQ(behind.Changes(), 1U) << "only the peer's change; the late response is older";
}

// Guards against waiting for a watch that delivers nothing when no peer can provide the change.
TEST(StoreSyncTest, RestartsAWatchThatStaysBehind)
{
  ScriptedUpstream silent(ServeRevision(7, 6000ms));
  RecordingSync behind(silent.Address(), FreeAddress());
  ASSERT_TRUE(behind.WaitForRevision(7, 5s));
  ASSERT_TRUE(behind.WaitUntilFollowing(5s));
  behind.Sync().OnPeerRevisions({ 7, 0, 0 }, "127.0.0.1:1");
  std::this_thread::sleep_for(2500ms);
  EXPECT_EQ(ConfigurationLists(silent), 1U) << "the peer knows nothing newer";
  behind.Sync().OnPeerRevisions({ 12, 0, 0 }, "127.0.0.1:1");
  std::this_thread::sleep_for(2500ms);
  EXPECT_EQ(ConfigurationLists(silent), 2U);
}

/// A store whose open connections can be made silent. Configuration "main" has revision 7 until it
/// is changed to 8.
class SilenceableStore
{
public:
  std::string Address() const { return m_store.Address(); }
  ScriptedUpstream& Upstream() { return m_store; }

  /// Makes all connections that have been used so far silent for good.
  /// @return number of the first connection that is not.
  std::size_t SilenceConnections()
  {
    m_silentBelow = m_connections.load();
    return m_silentBelow;
  }
  void Change() { m_revision = 8; }

private:
  Script Serve(const SeenRequest& aRequest)
  {
    std::size_t connections = m_connections;
    while (connections <= aRequest.m_connection &&
           !m_connections.compare_exchange_weak(connections, aRequest.m_connection + 1)) {
    }
    const std::uint64_t revision = m_revision;
    const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
    const bool isConfiguration = aRequest.m_head.find("/0 ") != std::string::npos;
    const bool isCurrent = aRequest.m_head.find("/watch/7/") == std::string::npos || revision == 7;
    const std::string objects =
      isConfiguration && !(isWatch && isCurrent)
        ? fmt::format(R"([{{"name":"main","revision":{},"value":1}}])", revision)
        : "[]";
    const bool isPending = isWatch && (isCurrent || !isConfiguration);
    Script script = Text("200 OK",
                         fmt::format(R"({{"revision":{},"objects":{}}})", revision, objects),
                         isPending ? 500ms : 0ms);
    if (aRequest.m_connection < m_silentBelow) {
      script.m_pause = 20s;
    }
    return script;
  }

  std::atomic<std::size_t> m_connections{ 0 };
  std::atomic<std::size_t> m_silentBelow{ 0 };
  std::atomic<std::uint64_t> m_revision{ 7 };
  ScriptedUpstream m_store{ [this](const SeenRequest& aRequest) { return Serve(aRequest); } };
};

// All connections go silent, and no peer tells of the change. Guards against waiting for the end of
// a long watch, and against taking a silent connection for an outage of the store, during which
// removals of upstreams would be held back.
TEST(SilentConnectionTest, TheLeadWatcherLearnsOfAChangeInTime)
{
  SilenceableStore store;
  RecordingSync vm(store.Address(), FreeAddress());
  ASSERT_TRUE(vm.WaitForRevision(7, 5s));
  ASSERT_TRUE(vm.WaitUntilFollowing(5s));
  vm.SetLead(true);
  std::this_thread::sleep_for(1s);
  store.SilenceConnections();
  store.Change();
  EXPECT_TRUE(vm.WaitForRevision(8, 1800ms)) << "the time for a change, by default";
  EXPECT_EQ(vm.Outages(), 0);
  EXPECT_GE(vm.Silences(), 1) << "the connections of other VMs may be silent, too";
}

// Guards against a lead watcher that takes over while its own long watch is silent.
TEST(SilentConnectionTest, ANewLeadWatcherDoesNotTrustItsPendingWatch)
{
  SilenceableStore store;
  RecordingSync vm(store.Address(), FreeAddress());
  ASSERT_TRUE(vm.WaitForRevision(7, 5s));
  ASSERT_TRUE(vm.WaitUntilFollowing(5s));
  store.SilenceConnections();
  store.Change();
  vm.SetLead(true);
  EXPECT_TRUE(vm.WaitForRevision(8, 300ms));
  EXPECT_EQ(vm.Outages(), 0);
}

// A peer provides the change that the silent watch does not. Guards against keeping the watch, so
// that each further change is late.
TEST(SilentConnectionTest, AWatchThatMissedAChangeIsReplaced)
{
  ScriptedUpstream working(ServeRevision(12, 8000ms));
  SilenceableStore silent;
  const std::string servedAddress = FreeAddress();
  RecordingSync served(working.Address(), servedAddress);
  ASSERT_TRUE(served.WaitForRevision(12, 5s));
  RecordingSync behind(silent.Address(), FreeAddress());
  ASSERT_TRUE(behind.WaitUntilFollowing(5s));
  std::this_thread::sleep_for(300ms);
  const std::size_t firstNew = silent.SilenceConnections();
  std::this_thread::sleep_for(700ms); // Responses that were under way have arrived.
  behind.Sync().OnPeerRevisions({ 12, 0, 0 }, servedAddress);
  EXPECT_TRUE(behind.WaitForRevision(12, 500ms));
  std::this_thread::sleep_for(1800ms);
  std::set<std::string> renewed;
  for (const SeenRequest& request : silent.Upstream().Seen()) {
    const std::size_t watch = request.m_head.find("/watch/");
    if (watch != std::string::npos && request.m_connection >= firstNew) {
      renewed.insert(request.m_head.substr(request.m_head.find(' ', watch) - 2, 2));
    }
  }
  EXPECT_EQ(renewed, (std::set<std::string>{ "/0", "/1", "/2" }))
    << "one silent connection is a reason to doubt the others";
  EXPECT_EQ(behind.Outages(), 0);
}

// Guards against a slow store that is taken for one that does not answer, which holds back the
// removals of upstreams.
TEST(SilentConnectionTest, ASlowStoreIsNoOutage)
{
  constexpr auto kDelay = 600ms;
  std::atomic<bool> isSlow{ false };
  std::atomic<int> connections{ 0 };
  ScriptedUpstream store([&](const SeenRequest& aRequest) {
    connections = std::max<int>(connections, static_cast<int>(aRequest.m_connection));
    const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
    return Text("200 OK",
                R"({"revision":9,"objects":[]})",
                (isWatch ? 700ms : 0ms) + (isSlow ? kDelay : 0ms));
  });
  RecordingSync vm(store.Address(), FreeAddress());
  ASSERT_TRUE(vm.WaitUntilFollowing(5s));
  vm.SetLead(true);
  std::this_thread::sleep_for(1s);
  isSlow = true;
  std::this_thread::sleep_for(4s);
  const int connectionsAtFirst = connections;
  std::this_thread::sleep_for(4s);
  EXPECT_EQ(vm.Outages(), 0);
  EXPECT_EQ(connections, connectionsAtFirst) << "watches go on where they are";
}

/// A store that lists its configuration objects in two pages. The object "a" of the first page
/// changes to revision 6 before the second page is read.
Script ServePages(const SeenRequest& aRequest)
{
  const auto isFor = [&aRequest](const char* aTarget) {
    return aRequest.m_head.find(aTarget) != std::string::npos;
  };
  if (isFor("/list/0 ")) {
    return Text("200 OK",
                R"({"revision":5,"more":true,"objects":[{"name":"a","revision":3,"value":1}]})");
  }
  if (isFor("/list/after/a/0 ")) {
    return Text("200 OK", R"({"revision":7,"objects":[{"name":"b","revision":4,"value":1}]})");
  }
  if (isFor("/watch/5/0 ")) {
    return Text("200 OK", R"({"revision":7,"objects":[{"name":"a","revision":6,"value":2}]})");
  }
  return Text("200 OK", R"({"revision":7,"objects":[]})", isFor("/watch/") ? 8000ms : 0ms);
}

// Guards against a change between two pages of a list that is lost until its object changes again
// (DRAIN on trouble-1 of the large site).
TEST(StoreSyncTest, WatchesFromTheFirstPageOfAList)
{
  ScriptedUpstream store(ServePages);
  RecordingSync vm(store.Address(), FreeAddress());
  EXPECT_TRUE(vm.WaitForRevision(6, 5s));
}

// Guards against peers that take the changes of a VM for complete, although its list misses those
// between its pages.
// The last page of a list says that there is more, but no object of it can be read. Guards against
// asking for the same page without a pause, and against taking the list for complete.
TEST(StoreSyncTest, APageWithoutAReadableObjectIsAFailure)
{
  std::atomic<int> lists{ 0 };
  ScriptedUpstream store([&](const SeenRequest& aRequest) {
    if (aRequest.m_head.find("/list") == std::string::npos) {
      return RefuseAll(aRequest);
    }
    lists += aRequest.m_head.find("/0 ") != std::string::npos ? 1 : 0;
    return Text("200 OK", R"({"revision":5,"objects":[],"more":true})");
  });
  RecordingSync vm(store.Address(), FreeAddress());
  EXPECT_FALSE(vm.WaitForConfiguration(1000ms));
  EXPECT_GT(lists, 1);
  EXPECT_LT(lists, 20);
}

TEST(StoreSyncTest, ServesNoPeerARevisionThatItHasNotSeenWhole)
{
  ScriptedUpstream store([](const SeenRequest& aRequest) {
    Script script = ServePages(aRequest);
    if (aRequest.m_head.find("/watch/") != std::string::npos) {
      script.m_pause = 8000ms;
    }
    return script;
  });
  const std::string address = FreeAddress();
  RecordingSync vm(store.Address(), address);
  ASSERT_TRUE(vm.WaitForConfiguration(5s));
  boost::asio::io_context io;
  const auto fetch = std::make_shared<HttpFetch>(io, address);
  std::optional<FetchResponse> response;
  fetch->Start({ "GET", "/snapshots/configuration?after=0", {}, 1000ms },
               [&](FetchResponse aResponse) { response = std::move(aResponse); });
  io.run_for(2s);
  ASSERT_TRUE(response);
  const auto snapshot = StoreSnapshot::FromJson(response->m_body);
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->Objects().size(), 2U);
  EXPECT_EQ(snapshot->Revision(), 5U);
}

std::size_t Calls(const ScriptedUpstream& aStore, const std::string& aTarget)
{
  const auto seen = aStore.Seen();
  return static_cast<std::size_t>(std::ranges::count_if(seen, [&](const SeenRequest& aRequest) {
    return aRequest.m_head.find(aTarget) != std::string::npos;
  }));
}

// A change arrives from a peer and then from the store. Guards against decoding a large
// configuration twice on the request thread.
TEST(StoreSyncTest, AChangeThatAPeerHasSentIsNotReportedAgain)
{
  ScriptedUpstream working(ServeRevision(12, 5000ms));
  ScriptedUpstream late(ServeRevision(7, 900ms, 12));
  const std::string servedAddress = FreeAddress();
  RecordingSync served(working.Address(), servedAddress);
  ASSERT_TRUE(served.WaitForRevision(12, 5s));
  RecordingSync behind(late.Address(), FreeAddress());
  ASSERT_TRUE(behind.WaitForRevision(7, 5s));
  behind.Sync().SetPeers({ servedAddress });
  ASSERT_TRUE(behind.WaitUntilFollowing(5s));
  for (int i = 0; i < 100 && Calls(late, "/watch/10/0 ") == 0; ++i) {
    std::this_thread::sleep_for(50ms);
  }
  ASSERT_EQ(Calls(late, "/watch/10/0 "), 1U);
  behind.Sync().OnPeerRevisions({ 12, 0, 0 }, servedAddress);
  ASSERT_TRUE(behind.WaitForRevision(12, 1500ms));
  std::this_thread::sleep_for(2000ms);
  EXPECT_EQ(behind.Changes(), 1U);
}

/// @return the response of a VM to a request of a peer.
FetchResponse FetchSnapshot(const std::string& aAddress, bool aAcceptsGzip)
{
  boost::asio::io_context io;
  const auto fetch = std::make_shared<HttpFetch>(io, aAddress);
  std::optional<FetchResponse> response;
  fetch->Start(
    { "GET", "/snapshots/configuration?after=0&era=1", {}, 1000ms, 1 << 20, aAcceptsGzip },
    [&](FetchResponse aResponse) {
      response = std::move(aResponse);
      fetch->Close();
    });
  io.run_for(2s);
  return response.value_or(FetchResponse{});
}

/// Serves one large configuration object.
Script ServeLarge(const SeenRequest& aRequest)
{
  Script script = ServeOne(aRequest);
  const std::size_t value = script.m_bytes.find(R"({"a":1})");
  if (value == std::string::npos) {
    return script;
  }
  return Text(
    "200 OK",
    fmt::format(R"({{"revision":9,"objects":[{{"name":"main","revision":7,"value":"{}"}}]}})",
                std::string(10'000, 'a')));
}

// Guards against a peer that gets a body that it cannot read, and against one that needs the whole
// text on a slow link although it accepts a compressed one. The store is not asked for one.
TEST(StoreSyncTest, SendsCompressedSnapshotsOnlyToPeersThatAcceptThem)
{
  ScriptedUpstream working(ServeLarge);
  ScriptedUpstream refusing(RefuseAll);
  const std::string servedAddress = FreeAddress();
  RecordingSync served(working.Address(), servedAddress);
  ASSERT_TRUE(served.WaitForConfiguration(5s));
  const FetchResponse plain = FetchSnapshot(servedAddress, false);
  ASSERT_TRUE(StoreSnapshot::FromJson(plain.m_body));
  EXPECT_EQ(plain.m_fields.count("Content-Encoding"), 0U);
  const FetchResponse compressed = FetchSnapshot(servedAddress, true);
  EXPECT_EQ(compressed.m_body, plain.m_body);
  EXPECT_LT(std::stoul(compressed.m_fields["Content-Length"]), plain.m_body.size() / 10);
  RecordingSync refused(refusing.Address(), FreeAddress());
  refused.Sync().SetPeers({ servedAddress });
  ASSERT_TRUE(refused.WaitForConfiguration(5s));
  EXPECT_EQ(refused.Configurations().front().m_value->asString().size(), 10'000U);
  for (const ScriptedUpstream* store : { &working, &refusing }) {
    for (const SeenRequest& request : store->Seen()) {
      EXPECT_EQ(request.Header("Accept-Encoding"), "");
    }
  }
}

// A peer of an earlier version ignores Accept-Encoding. Guards against VMs that learn nothing from
// it during an upgrade.
TEST(StoreSyncTest, AdoptsThePlainSnapshotOfAPeerThatDoesNotCompress)
{
  ScriptedUpstream refusing(RefuseAll);
  ScriptedUpstream peer([](const SeenRequest& aRequest) {
    return aRequest.m_head.find("/snapshots/configuration?") == std::string::npos
             ? Text("404 Not Found", "")
             : Text("200 OK",
                    R"({"revision":9,"objects":[{"name":"main","revision":7,"value":1}]})");
  });
  RecordingSync refused(refusing.Address(), FreeAddress());
  refused.Sync().SetPeers({ peer.Address() });
  EXPECT_TRUE(refused.WaitForRevision(7, 5s));
  EXPECT_EQ(peer.Seen().front().Header("Accept-Encoding"), "gzip");
}

/// One watcher, whose store has the configuration object "main" with revision 7, and 8 once it has
/// changed.
class ServingWatcherTest : public testing::Test
{
protected:
  ServingWatcherTest()
  {
    KindWatcher::Hooks hooks{ [](std::vector<StoredObject>) {},
                              [](std::vector<StoredObject>) {},
                              [](StoreCallResult) {},
                              [](policy::StoreRevision) {},
                              [] {},
                              [] {} };
    m_settings.m_storeAddress = m_store.Address();
    m_watcher = std::make_unique<KindWatcher>(m_io,
                                              m_settings,
                                              m_dialect,
                                              base::SystemClock::Get(),
                                              m_log,
                                              m_era,
                                              ObjectKind::Configuration,
                                              std::move(hooks));
    m_watcher->Start();
  }

  bool RunUntil(const std::function<bool()>& aIsDone)
  {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!aIsDone() && std::chrono::steady_clock::now() < end) {
      m_io.run_one_for(20ms);
    }
    return aIsDone();
  }

  bool RunUntilSeen(policy::StoreRevision aRevision)
  {
    return RunUntil([&] { return m_watcher->HasSeen(aRevision); });
  }

  /// @return the body that a peer gets; null if it gets none.
  std::shared_ptr<const std::string> Body(policy::StoreRevision aAfter)
  {
    const auto response = m_watcher->SnapshotAfter(aAfter, false);
    return response ? response->m_body : nullptr;
  }

  std::atomic<bool> m_hasChanged{ false };
  std::atomic<bool> m_isRefusing{ false };
  ScriptedUpstream m_store{ [this](const SeenRequest& aRequest) {
    const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
    if (m_isRefusing) {
      return RefuseAll(aRequest);
    }
    return isWatch && !m_hasChanged ? Text("200 OK", R"({"revision":10,"objects":[]})", 50ms)
                                    : ServeRevision(7, 50ms)(aRequest);
  } };
  GatewaySettings m_settings;
  TestDialect m_dialect;
  base::AsyncLog m_log{ "vm", base::SystemClock::Get(), { 64, 1000, [](std::string_view) {} } };
  StoreEra m_era{ m_dialect, m_log, [](std::uint64_t) {} };
  boost::asio::io_context m_io;
  std::unique_ptr<KindWatcher> m_watcher;
};

// Guards against making the text anew for each of many peers, and against sending or keeping one
// that is out of date.
TEST_F(ServingWatcherTest, PeersShareABodyUntilTheObjectsChange)
{
  ASSERT_TRUE(RunUntilSeen(10));
  for (const policy::StoreRevision after : { 0, 6 }) {
    EXPECT_NE(Body(after), nullptr);
    EXPECT_EQ(Body(after), Body(after)) << "the same object";
  }
  EXPECT_EQ(Body(8), Body(9)) << "the same changes";
  EXPECT_NE(Body(6), Body(9));
  EXPECT_NE(Body(6), Body(0)) << "changes instead of all objects";
  const std::weak_ptr<const std::string> before = Body(6);
  EXPECT_FALSE(before.expired());
  m_hasChanged = true;
  ASSERT_TRUE(RunUntilSeen(11));
  EXPECT_TRUE(before.expired());
  EXPECT_NE(Body(6)->find(R"("revision":8)"), std::string::npos);
  const std::weak_ptr<const std::string> changed = Body(6);
  m_isRefusing = true;
  EXPECT_TRUE(RunUntil([&] { return changed.expired(); })) << "the store no longer answers";
  EXPECT_EQ(Body(6), nullptr);
}

/// A store or peer whose configuration object has revision 12 and arrives slowly: 16 pieces of 1 KB
/// or less, one each 100 ms, which begin after 0.7 s if it is a watch. The first list has revision
/// 7, other kinds have no objects.
/// @param aSlow target of the response that is slow; that of other watches is late.
ScriptedUpstream::Handler ServeSlowly(const std::string& aSlow)
{
  return [aSlow](const SeenRequest& aRequest) {
    if (aRequest.m_head.find(aSlow) == std::string::npos) {
      const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
      Script script = ServeRevision(7, 0ms)(aRequest);
      script.m_pause = isWatch ? 8000ms : 0ms;
      return script;
    }
    Script script = Text(
      "200 OK",
      fmt::format(R"({{"revision":15,"objects":[{{"name":"main","revision":12,"value":"{}"}}]}})",
                  std::string(15'000, 'x')));
    script.m_pieceBytes = 1000;
    script.m_piecePause = 100ms;
    script.m_pause = aSlow.starts_with("/watch/") ? 700ms : 0ms;
    return script;
  };
}

// A large change arrives for longer than three checks whether the watch is behind a peer or, at the
// lead watcher, beyond the end of the watch and its margin. Guards against a watch that is taken
// for silent, and fetches the change again from the start, while it is arriving.
class SlowTransferTest : public testing::TestWithParam<bool>
{};

TEST_P(SlowTransferTest, AWatchWhoseResponseIsArrivingGoesOn)
{
  ScriptedUpstream store(ServeSlowly("/watch/10/0 "));
  RecordingSync vm(store.Address(), FreeAddress(), 3600ms);
  const bool isLead = GetParam();
  vm.SetLead(isLead);
  ASSERT_TRUE(vm.WaitUntilFollowing(5s));
  if (!isLead) {
    vm.Sync().OnPeerRevisions({ 12, 0, 0 }, "127.0.0.1:1");
  }
  EXPECT_TRUE(vm.WaitForRevision(12, 5s));
  EXPECT_EQ(Calls(store, "/watch/10/0 "), 1U);
  EXPECT_EQ(vm.Silences(), 0);
}

INSTANTIATE_TEST_SUITE_P(Roles, SlowTransferTest, testing::Bool());

// Guards against giving up a peer's response that is arriving, at its time limit or because another
// change is announced.
TEST(StoreSyncTest, AFetchFromAPeerThatIsArrivingGoesOn)
{
  ScriptedUpstream store(ServeSlowly("/none"));
  ScriptedUpstream peer(ServeSlowly("/snapshots/configuration"));
  RecordingSync vm(store.Address(), FreeAddress(), 4000ms);
  vm.Sync().SetRole(policy::StoreRole::Relying, false);
  ASSERT_TRUE(vm.WaitForRevision(7, 5s));
  vm.Sync().OnPeerRevisions({ 12, 0, 0 }, peer.Address());
  std::this_thread::sleep_for(300ms);
  vm.Sync().OnPeerRevisions({ 13, 0, 0 }, "127.0.0.1:1");
  EXPECT_TRUE(vm.WaitForRevision(12, 5s));
  EXPECT_EQ(Calls(peer, "/snapshots/configuration"), 1U);
  EXPECT_EQ(Calls(store, "/watch/10/0 "), 0U);
}

// A list or a watch takes longer than a change may take. Guards against a VM on a slow link that
// begins each of them anew, and against taking that for silence or an outage.
TEST(StoreSyncTest, ATransferThatTakesLongerThanAChangeMayIsNotBegunAnew)
{
  for (const char* slow : { "/list/0 ", "/watch/10/0 " }) {
    ScriptedUpstream store(ServeSlowly(slow));
    RecordingSync vm(store.Address(), FreeAddress(), 800ms);
    EXPECT_TRUE(vm.WaitForRevision(12, 10s)) << slow;
    EXPECT_EQ(Calls(store, slow), 1U);
    EXPECT_EQ(vm.Silences(), 0);
    EXPECT_EQ(vm.Outages(), 0);
  }
}

// The peer that announced a change does not answer while a watch is arriving. Guards against asking
// no other peer until the watch has ended.
TEST(StoreSyncTest, AsksOtherPeersWhileAWatchArrivesSlowly)
{
  ScriptedUpstream store(ServeSlowly("/watch/10/0 "));
  ScriptedUpstream peer([](const SeenRequest& aRequest) {
    return aRequest.m_head.find("/snapshots/configuration?") == std::string::npos
             ? Text("404 Not Found", "")
             : Text("200 OK",
                    R"({"since":10,"revision":20,)"
                    R"("objects":[{"name":"main","revision":18,"value":1}]})");
  });
  RecordingSync vm(store.Address(), FreeAddress(), 800ms);
  vm.Sync().SetPeers({ peer.Address() });
  ASSERT_TRUE(vm.WaitUntilFollowing(5s));
  for (int i = 0; i < 60 && Calls(store, "/watch/10/0 ") == 0; ++i) {
    std::this_thread::sleep_for(50ms);
  }
  std::this_thread::sleep_for(900ms); // The response is arriving, and goes on for 1.3 s.
  vm.Sync().OnPeerRevisions({ 18, 0, 0 }, "127.0.0.1:1");
  EXPECT_TRUE(vm.WaitForRevision(18, 1000ms));
}

/// A VM that relies on others, after the delay of the first watch; its store has revision 7.
class RelyingVmTest : public testing::Test
{
protected:
  void SetUp() override
  {
    m_vm.Sync().SetRole(policy::StoreRole::Relying, false);
    ASSERT_TRUE(m_vm.WaitForRevision(7, 5s));
    std::this_thread::sleep_for(3000ms);
    ASSERT_EQ(Calls(m_store, "/watch/"), 0U);
  }

  std::atomic<std::chrono::milliseconds> m_watchPause{ 8000ms };
  ScriptedUpstream m_store{ [this](const SeenRequest& aRequest) {
    return ServeRevision(7, m_watchPause)(aRequest);
  } };
  RecordingSync m_vm{ m_store.Address(), FreeAddress() };
};

// Guards against changes that arrive late or cost a call to the store.
TEST_F(RelyingVmTest, FetchesChangesFromThePeerThatAnnouncesThem)
{
  ScriptedUpstream working(ServeRevision(12, 8000ms));
  const std::string servedAddress = FreeAddress();
  RecordingSync served(working.Address(), servedAddress);
  ASSERT_TRUE(served.WaitForRevision(12, 5s));
  m_vm.Sync().OnPeerRevisions({ 12, 0, 0 }, servedAddress);
  EXPECT_TRUE(m_vm.WaitForRevision(12, 300ms));
  EXPECT_EQ(Calls(m_store, "/watch/"), 0U);
  EXPECT_EQ(Calls(m_store, "/list/0 "), 1U);
}

// A peer stops in the middle of its response. Guards against fetches from peers that fail without a
// trace in the log.
TEST_F(RelyingVmTest, LogsAFetchFromAPeerThatFails)
{
  ScriptedUpstream peer(
    [](const SeenRequest&) { return Script{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx" }; });
  m_vm.Sync().OnPeerRevisions({ 12, 0, 0 }, peer.Address());
  EXPECT_TRUE(m_vm.WaitForLog(fmt::format(R"("peer_fetch_failed","peer":"{}","kind":)"
                                          R"("configuration","status":0,"timed_out":1,"bytes":39)",
                                          peer.Address()),
                              3000ms));
}

// Guards against waiting for a change that no peer provides, and against listing all objects for
// it, which is the slowest call of all on a VM that is behind.
TEST_F(RelyingVmTest, AsksTheStoreIfNoPeerHasTheChange)
{
  m_watchPause = 50ms;
  m_vm.Sync().OnPeerRevisions({ 11, 0, 0 }, "127.0.0.1:1");
  EXPECT_TRUE(m_vm.WaitForRevision(8, 1000ms));
  EXPECT_EQ(Calls(m_store, "/watch/10/0 "), 1U);
  EXPECT_EQ(Calls(m_store, "/list/0 "), 1U) << "only the list at the start";
  std::this_thread::sleep_for(500ms);
  EXPECT_EQ(Calls(m_store, "/watch/"), 1U) << "it relies on others again";
}

// A peer announces a revision that the store has not reached. Guards against taking its word for
// good, which would keep this VM busy with catching up.
TEST_F(RelyingVmTest, APeerAheadOfTheStoreIsIgnored)
{
  m_watchPause = 50ms;
  m_vm.Sync().OnPeerRevisions({ 1000, 0, 0 }, "127.0.0.1:1");
  EXPECT_TRUE(m_vm.WaitForRevision(8, 1000ms));
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(Calls(m_store, "/watch/"), 1U);
}

// Peers announce a change that this VM can get neither from them nor from the store. Guards against
// a VM that does not know for how long its view has been outdated, or that takes the word of a peer
// against the store's.
TEST_F(RelyingVmTest, TellsForHowLongItHasBeenBehind)
{
  EXPECT_EQ(m_vm.UpstreamsBehindFor(), 0ms);
  m_vm.Sync().OnPeerRevisions({ 0, 50, 0 }, "127.0.0.1:1");
  std::this_thread::sleep_for(300ms);
  m_vm.Sync().OnPeerRevisions({ 0, 60, 0 }, "127.0.0.1:1");
  std::this_thread::sleep_for(100ms);
  EXPECT_GE(m_vm.UpstreamsBehindFor(), 350ms);
  m_watchPause = 0ms;
  std::this_thread::sleep_for(2500ms);
  m_vm.Sync().OnPeerRevisions({ 0, 70, 0 }, "127.0.0.1:1");
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(m_vm.UpstreamsBehindFor(), 0ms);
}

// The VMs that this one relied on have stopped.
TEST_F(RelyingVmTest, WatchesTheStoreWhenItIsElected)
{
  m_vm.Sync().SetRole(policy::StoreRole::Elected, true);
  EXPECT_TRUE(m_vm.WaitUntilFollowing(1s));
  std::this_thread::sleep_for(300ms);
  EXPECT_EQ(Calls(m_store, "/watch/"), 3U);
}

// Guards against two VMs that cannot reach the store and adopt each other's stale snapshots.
TEST(StoreSyncTest, APeerWithoutTheStoreServesNoSnapshot)
{
  ScriptedUpstream refusing(RefuseAll);
  const std::string firstAddress = FreeAddress();
  const std::string secondAddress = FreeAddress();
  RecordingSync first(refusing.Address(), firstAddress);
  RecordingSync second(refusing.Address(), secondAddress);
  first.Sync().SetPeers({ secondAddress });
  second.Sync().SetPeers({ firstAddress });
  EXPECT_FALSE(first.WaitForConfiguration(1500ms));
}

} // namespace
} // namespace jaylane::gateway
