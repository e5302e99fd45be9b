#include "ControlPlane.h"

#include "TestStore.h"
#include "TestWireFormat.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <poll.h>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

/// The control plane of one VM, whose store is scripted and whose peers are datagrams.
class ControlPlaneTest : public testing::Test
{
protected:
  enum class Store
  {
    Answers,
    Refuses,
    /// Accepts requests and does not respond.
    Silent
  };

  void Start()
  {
    m_settings.m_name = "vm";
    m_settings.m_zone = m_settings.m_region = "r";
    m_settings.m_callerAddress = "127.0.0.1:1";
    m_settings.m_storeAddress = m_store.Address();
    m_settings.m_peerAddress = FreeAddress();
    ControlPlane::Hooks hooks;
    hooks.m_onConfigurations = [](const std::vector<StoredObject>&) {};
    hooks.m_onUpstreamList = [](const std::vector<StoredObject>&) {};
    hooks.m_onUpstreamChanges = [](const std::vector<StoredObject>&) {};
    hooks.m_onEvacuationList = [](const std::vector<StoredObject>&) {};
    hooks.m_onEvacuationChanges = [](const std::vector<StoredObject>&) {};
    hooks.m_onMembers = [](const std::set<std::string>&) {};
    hooks.m_onStrikes = [](const std::vector<policy::Strike>&) {};
    hooks.m_onLimits = [](const std::vector<policy::LimitObservation>&) {};
    hooks.m_onStoreCall = [](bool) {};
    hooks.m_onErasChanged = [](const StoreRevisions&) {};
    hooks.m_onQuarantines = [](const QuarantineStore::Contents&) {};
    hooks.m_onQuotaGrant = [this](const policy::QuotaGrant&) {
      const std::lock_guard lock(m_mutex);
      ++m_grants;
      m_changed.notify_all();
    };
    hooks.m_onQuotaFleet = [this](const std::vector<policy::QuotaClient::Candidate>& aCandidates,
                                  std::uint32_t aKnownVms) {
      const std::lock_guard lock(m_mutex);
      m_candidates = aCandidates;
      m_knownVms = aKnownVms;
    };
    hooks.m_onStoreReachable = [this](bool aIsReachable) {
      const std::lock_guard lock(m_mutex);
      ++(aIsReachable ? m_recoveries : m_outages);
      m_changed.notify_all();
    };
    m_controlPlane = std::make_unique<ControlPlane>(
      m_settings, m_dialect, m_wire, base::SystemClock::Get(), m_log, std::move(hooks));
    ASSERT_TRUE(m_controlPlane->Start());
    // Until the lists are read and watches are pending.
    std::this_thread::sleep_for(1300ms);
  }

  /// A peer announces that the store does not answer it, or that it does again.
  /// @param aConfiguration revision of the configuration that the peer has.
  void Announce(const std::string& aParams, int aConfiguration = 0, const std::string& aName = "p")
  {
    boost::asio::io_context io;
    boost::asio::ip::udp::socket socket(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const std::size_t colon = m_settings.m_peerAddress.rfind(':');
    const auto port =
      static_cast<std::uint16_t>(std::stoi(m_settings.m_peerAddress.substr(colon + 1)));
    socket.send_to(
      boost::asio::buffer(R"({"jsonrpc":"2.0","method":"announce","params":{"name":")" + aName +
                          R"(","zone":"r","region":"r","revisions":[)" +
                          std::to_string(aConfiguration) + ",0,0]," + aParams + "}}"),
      { boost::asio::ip::make_address("127.0.0.1"), port });
  }

  bool WaitFor(const int& aCount, std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, aLimit, [&] { return aCount > 0; });
  }

  Script Serve(const SeenRequest& aRequest)
  {
    if (m_state == Store::Refuses) {
      return Text("503 Service Unavailable", "");
    }
    const bool isWatch = aRequest.m_head.find("/watch/") != std::string::npos;
    const bool isSilent = isWatch || m_state == Store::Silent;
    return Text("200 OK", R"({"revision":9,"objects":[]})", isSilent ? 30s : 0ms);
  }

  std::atomic<Store> m_state{ Store::Answers };
  ScriptedUpstream m_store{ [this](const SeenRequest& aRequest) { return Serve(aRequest); } };
  GatewaySettings m_settings;
  TestDialect m_dialect;
  WireFormat m_wire = TestWireFormat();
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_roleChanges = 0;
  base::AsyncLog m_log{ "vm",
                        base::SystemClock::Get(),
                        { 64, 1000, [this](std::string_view aLines) {
                           const std::lock_guard lock(m_mutex);
                           m_roleChanges += aLines.find("store_role") != std::string_view::npos;
                           m_changed.notify_all();
                         } } };
  int m_outages = 0;
  int m_recoveries = 0;
  int m_grants = 0;
  std::vector<policy::QuotaClient::Candidate> m_candidates;
  std::uint32_t m_knownVms = 0;
  std::unique_ptr<ControlPlane> m_controlPlane;
};

// Guards against quota messages without any quota, and against reports, of this VM or another one,
// that get no answer.
TEST_F(ControlPlaneTest, AnswersQuotaReportsWhileThereAreQuotas)
{
  Start();
  boost::asio::io_context io;
  const auto loopback = boost::asio::ip::make_address("127.0.0.1");
  boost::asio::ip::udp::socket peer(io, { loopback, 0 });
  const std::size_t colon = m_settings.m_peerAddress.rfind(':');
  const auto port =
    static_cast<std::uint16_t>(std::stoi(m_settings.m_peerAddress.substr(colon + 1)));
  std::array<char, 2000> buffer{};
  const auto isAnswered = [&](std::uint32_t aNumber) {
    policy::QuotaReport report;
    report.m_vm = "p";
    report.m_number = aNumber;
    peer.send_to(boost::asio::buffer(detail::WriteQuotaMessage(report)), { loopback, port });
    pollfd waited{ peer.native_handle(), POLLIN, 0 };
    return ::poll(&waited, 1, 500) > 0 &&
           std::string_view(buffer.data(), peer.receive(boost::asio::buffer(buffer)))
               .find("quota_grant") != std::string_view::npos;
  };
  EXPECT_FALSE(isAnswered(1));
  m_controlPlane->SetQuotas({ { "team", 1, 1 } });
  EXPECT_TRUE(isAnswered(2));
  m_controlPlane->SendQuotaReports({ { "vm", {} } }, {});
  EXPECT_TRUE(WaitFor(m_grants, 500ms));
  const std::lock_guard lock(m_mutex);
  ASSERT_EQ(m_candidates.size(), 1U);
  EXPECT_EQ(m_candidates[0].m_name, "vm");
  EXPECT_EQ(m_knownVms, 1U);
}

// Guards against holding back the removals of upstreams because the store did not answer another
// VM: this VM is in touch and must act on them within the drain time.
TEST_F(ControlPlaneTest, AnOutageOfAnotherVmIsNoOutageOfThisOne)
{
  Start();
  for (int i = 0; i < 5; ++i) {
    Announce(R"("store_unreachable":true)");
    std::this_thread::sleep_for(300ms);
  }
  Announce(R"("recovered_ms":5)");
  EXPECT_FALSE(WaitFor(m_recoveries, 700ms));
  EXPECT_EQ(m_outages, 0);
  const std::vector<SeenRequest> seen = m_store.Seen();
  const auto probes = std::ranges::count_if(seen, [](const SeenRequest& aRequest) {
    return aRequest.m_head.find("/list/2 ") != std::string::npos;
  });
  EXPECT_LE(probes, 1 + 2) << "the first list, and one probe a second";
}

// All VMs lose the store, but the watches of this one wait on and do not notice. Guards against
// dropping the upstreams whose registrations expired meanwhile.
TEST_F(ControlPlaneTest, AnOutageThatItsWatchesDoNotNoticeIsFound)
{
  Start();
  m_state = Store::Silent;
  Announce(R"("store_unreachable":true)");
  EXPECT_TRUE(WaitFor(m_outages, 1500ms));
  EXPECT_EQ(m_recoveries, 0);
  m_state = Store::Answers;
  EXPECT_TRUE(WaitFor(m_recoveries, 1500ms));
}

// The responses to watches from before the outage are lost. Guards against waiting for them.
TEST_F(ControlPlaneTest, WatchesStartAnewAfterAnOutage)
{
  Start();
  const auto watches = [this] {
    const auto seen = m_store.Seen();
    return std::ranges::count_if(seen, [](const SeenRequest& aRequest) {
      return aRequest.m_head.find("/watch/") != std::string::npos;
    });
  };
  const auto before = watches();
  m_state = Store::Silent;
  Announce(R"("store_unreachable":true)");
  ASSERT_TRUE(WaitFor(m_outages, 1500ms));
  m_state = Store::Answers;
  ASSERT_TRUE(WaitFor(m_recoveries, 1500ms));
  std::this_thread::sleep_for(200ms);
  EXPECT_GE(watches(), before + 3);
}

// The kept connection of the probe has gone silent, the store has not. Guards against an outage
// that holds back the removals of upstreams.
TEST_F(ControlPlaneTest, ASilentConnectionIsNoOutage)
{
  std::atomic<bool> isSilent{ false };
  ScriptedUpstream store([&](const SeenRequest& aRequest) {
    const bool isOld = aRequest.m_connection == 0;
    return Text("200 OK", R"({"revision":9,"objects":[]})", isSilent && isOld ? 5s : 0ms);
  });
  boost::asio::io_context io;
  int changes = 0;
  StoreProbe probe(
    io,
    store.Address(),
    "/list/2",
    base::SystemClock::Get(),
    m_log,
    [] { return 0ms; },
    [&](bool) { ++changes; });
  probe.Check();
  io.run_for(300ms);
  isSilent = true;
  std::this_thread::sleep_for(1s);
  probe.Check();
  io.restart();
  io.run_for(1s);
  EXPECT_EQ(store.Seen().size(), 2U);
  EXPECT_EQ(changes, 0);
}

TEST_F(ControlPlaneTest, AFlappingStoreIsAnOutageEachTime)
{
  Start();
  for (int i = 1; i <= 3; ++i) {
    m_state = Store::Refuses;
    for (int announcements = 0; announcements < 4; ++announcements) {
      Announce(R"("store_unreachable":true)");
      std::this_thread::sleep_for(400ms);
    }
    m_state = Store::Answers;
    std::this_thread::sleep_for(900ms);
    const std::lock_guard lock(m_mutex);
    EXPECT_EQ(m_outages, i);
    EXPECT_EQ(m_recoveries, i);
  }
}

// A call that was made during the outage fails after the store has answered others. Guards against
// taking that for a second outage, which would hold removals back for longer.
TEST_F(ControlPlaneTest, ALateFailureIsNoSecondOutage)
{
  boost::asio::io_context io;
  std::vector<bool> changes;
  StoreProbe probe(
    io,
    m_store.Address(),
    "/list/2",
    base::SystemClock::Get(),
    m_log,
    [] { return 0ms; },
    [&](bool aIsReachable) { changes.push_back(aIsReachable); });
  probe.OnCallCompleted(false);
  probe.OnCallCompleted(true);
  probe.OnCallCompleted(false);
  io.run_for(300ms);
  EXPECT_EQ(changes, (std::vector<bool>{ false, true }));
  m_state = Store::Refuses;
  probe.OnCallCompleted(false);
  io.restart();
  io.run_for(300ms);
  EXPECT_EQ(changes, (std::vector<bool>{ false, true, false })) << "the store does not answer";
}

// Guards against a VM that starts during an outage and takes the first list after it for complete.
TEST_F(ControlPlaneTest, AVmThatStartsDuringAnOutageKnowsOfIt)
{
  m_state = Store::Refuses;
  Start();
  EXPECT_EQ(m_outages, 1);
  m_state = Store::Answers;
  EXPECT_TRUE(WaitFor(m_recoveries, 1500ms));
}

// Guards against a VM that is cut off and takes its configuration for the newest, since its open
// watch reports no change, and against one that doubts it while other VMs confirm it.
TEST_F(ControlPlaneTest, TheConfigurationIsConfirmedWhileTheLeadWatcherIsHeard)
{
  Start();
  EXPECT_TRUE(m_controlPlane->IsConfigurationConfirmed()) << "just listed";
  m_state = Store::Silent;
  for (int beat = 1; beat <= 10; ++beat) {
    Announce(fmt::format(R"("following":true,"lead":[0,{},0])", beat));
    std::this_thread::sleep_for(400ms);
  }
  EXPECT_TRUE(m_controlPlane->IsConfigurationConfirmed());
  std::this_thread::sleep_for(m_settings.m_configurationTime + 500ms);
  EXPECT_FALSE(m_controlPlane->IsConfigurationConfirmed()) << "cut off";
  Announce(R"("following":true,"lead":[0,11,0])");
  std::this_thread::sleep_for(300ms);
  EXPECT_TRUE(m_controlPlane->IsConfigurationConfirmed());
  Announce(R"("following":true,"lead":[0,12,0])", 20);
  std::this_thread::sleep_for(300ms);
  EXPECT_FALSE(m_controlPlane->IsConfigurationConfirmed()) << "lacks a change";
}

// Guards against acting on a configuration although this VM has known for longer than a change may
// take that it lacks a newer one.
TEST_F(ControlPlaneTest, AMissingChangeEndsTheUseOfTheConfiguration)
{
  Start();
  m_state = Store::Silent;
  Announce(R"("following":true,"lead":[0,1,0])", 20);
  const base::MonotonicTime behindSince = base::SystemClock::Get().Monotonic();
  for (int beat = 2; beat <= 12; ++beat) {
    Announce(fmt::format(R"("following":true,"lead":[0,{},0])", beat), 20);
    std::this_thread::sleep_for(300ms);
    EXPECT_LE(m_controlPlane->ConfigurationUsableUntil() - behindSince,
              m_settings.m_configurationTime)
      << "beat " << beat;
  }
}

// Guards against an election that leaves out the processor time of this VM or of its peers. By the
// hashes of the names, this VM would be elected both times.
TEST_F(ControlPlaneTest, TheLargestVmsOfTheZoneWatch)
{
  m_settings.m_cores = 0.1;
  Start();
  const auto announceAll = [this](int aLargeVms) {
    for (int i = 1; i <= 8; ++i) {
      Announce(
        fmt::format(R"("millicores":{})", i <= aLargeVms ? 500 : 70), 0, "p" + std::to_string(i));
    }
  };
  announceAll(1);
  EXPECT_FALSE(WaitFor(m_roleChanges, 700ms)) << "one of the two largest";
  announceAll(2);
  EXPECT_TRUE(WaitFor(m_roleChanges, 700ms));
}

} // namespace
} // namespace jaylane::gateway
