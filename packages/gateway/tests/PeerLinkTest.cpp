#include "PeerLink.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <unistd.h>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

/// @return a loopback address specific to this process, so that concurrent test runs do not
/// collide.
std::string Ip(int aNumber)
{
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(2 + process / 250 % 250) + "." + std::to_string(process % 250) +
         "." + std::to_string(10 + aNumber);
}

const policy::LoadObservation kLoad{ 0xDEADBEEF, 7, 6, 18, {} };

/// VMs that exchange datagrams on loopback addresses and share a clock.
class PeerLinkTest : public testing::Test
{
protected:
  struct Vm
  {
    GatewaySettings m_settings;
    std::vector<policy::Strike> m_strikes;
    std::vector<policy::Strike> m_received;
    StoreRevisions m_seen;
    std::string m_revisionPeer;
    int m_followersHeard = 0;
    int m_outagesHeard = 0;
    std::optional<policy::LeadWatcher::Heartbeat> m_lead;
    std::optional<policy::LeadWatcher::Heartbeat> m_receivedLead;
    std::optional<std::uint32_t> m_resignedRank;
    std::vector<policy::LimitObservation> m_limits;
    std::vector<policy::LimitObservation> m_receivedLimits;
    /// Announcements with limits.
    int m_limitMessages = 0;
    std::optional<policy::ZoneDemand> m_zoneDemand;
    std::optional<policy::ZoneDemand> m_receivedDemand;
    /// Loads that it can announce.
    std::size_t m_loadCount = 0;
    std::optional<std::vector<policy::LoadObservation>> m_receivedLoads;
    std::size_t m_loadsTold = 0;
    /// Whether the handler of strikes throws.
    bool m_isFailing = false;
    std::unique_ptr<PeerLink> m_link;
  };

  Vm& Add(int aNumber,
          const std::string& aZone,
          const std::string& aRegion,
          const std::string& aSeed)
  {
    auto vm = std::make_unique<Vm>();
    const std::string ip = Ip(aNumber);
    vm->m_settings.m_name = "vm-" + std::to_string(aNumber);
    vm->m_settings.m_zone = aZone;
    vm->m_settings.m_region = aRegion;
    vm->m_settings.m_zones = m_zones;
    vm->m_settings.m_callerAddress = ip + ":80";
    vm->m_settings.m_peerAddress = ip + ":28761";
    vm->m_settings.m_seeds = { aSeed };
    Vm* raw = vm.get();
    vm->m_link = std::make_unique<PeerLink>(
      m_io,
      vm->m_settings,
      base::SystemClock::Get(),
      m_log,
      PeerLink::Hooks{
        [raw] { return raw->m_strikes; },
        [raw](const std::vector<policy::Strike>& aStrikes) {
          if (raw->m_isFailing) {
            throw std::out_of_range("strikes");
          }
          std::ranges::copy(aStrikes, std::back_inserter(raw->m_received));
        },
        [] {},
        [raw](const StoreRevisions& aRevisions, const std::string& aPeer) {
          raw->m_seen = aRevisions;
          raw->m_revisionPeer = aPeer;
        },
        [raw](const StoreRevisions&) { ++raw->m_followersHeard; },
        [raw] { ++raw->m_outagesHeard; },
        [raw] { return raw->m_lead; },
        [raw](const policy::LeadWatcher::Heartbeat& aHeartbeat) {
          raw->m_receivedLead = aHeartbeat;
        },
        [raw](std::uint32_t aRank) { raw->m_resignedRank = aRank; },
        [](std::vector<policy::StoreFollowing::Vm> aZoneVms) {
          return policy::StoreFollowing({}, {}).ElectedAmong(std::move(aZoneVms));
        },
        [raw] { return raw->m_limits; },
        [raw](const std::vector<policy::LimitObservation>& aLimits) {
          raw->m_receivedLimits = aLimits;
          ++raw->m_limitMessages;
        },
        [raw] { return raw->m_zoneDemand; },
        [raw](const policy::ZoneDemand& aDemand) { raw->m_receivedDemand = aDemand; },
        [raw](std::size_t aCount) {
          policy::LoadObservation load = kLoad;
          load.m_seenAt = base::SystemClock::Get().Monotonic();
          return std::vector<policy::LoadObservation>(std::min(aCount, raw->m_loadCount), load);
        },
        [raw](std::optional<std::vector<policy::LoadObservation>> aLoads) {
          raw->m_receivedLoads = std::move(aLoads);
        },
        [raw](std::size_t aCount) { raw->m_loadsTold += aCount; } });
    EXPECT_TRUE(vm->m_link->Start());
    m_vms.push_back(std::move(vm));
    return *raw;
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    m_io.run_for(aTime);
    m_io.restart();
  }

  base::AsyncLog m_log{ "t", base::SystemClock::Get(), { 64, 1000, [](std::string_view) {} } };
  boost::asio::io_context m_io;
  /// Region of each zone in the settings of VMs that are added.
  std::map<std::string, std::string> m_zones;
  std::vector<std::unique_ptr<Vm>> m_vms;
};

// Guards against lookups that return VMs of other zones while the caller's zone has running ones,
// and against VMs that do not find each other by their seeds alone while the store is unreachable.
TEST_F(PeerLinkTest, LookupsPreferTheCallersZoneThenItsRegion)
{
  Vm& first = Add(1, "a", "r", Ip(1) + ":99");
  Add(2, "a", "r", Ip(1) + ":99");
  Add(3, "b", "r", Ip(1) + ":99");
  RunFor(1000ms);
  EXPECT_EQ(first.m_link->AddressesFor("a", "r").size(), 2U);
  EXPECT_EQ(first.m_link->AddressesFor("b", "r"), std::vector<std::string>{ Ip(3) + ":80" });
  EXPECT_EQ(first.m_link->AddressesFor("c", "r").size(), 3U);
  EXPECT_EQ(first.m_link->AddressesFor("x", "y").size(), 3U) << "all of this VM's region";
  EXPECT_EQ(first.m_link->KnownVmNames().size(), 3U);
}

// VMs of other regions announce themselves here every few seconds only. Guards against lookups that
// name another region than the caller's, which requests may not enter, after a gap between them.
TEST_F(PeerLinkTest, LookupsNameTheCallersRegionBetweenItsAnnouncements)
{
  Vm& near = Add(1, "a", "r", Ip(2) + ":99");
  Add(2, "b", "far", Ip(1) + ":99").m_link->SetLoad(true, 0);
  near.m_link->SetLoad(true, 0);
  RunFor(900ms);
  m_vms.pop_back();
  m_io.restart();
  RunFor(2200ms);
  EXPECT_EQ(near.m_link->AddressesFor("b", "far"), std::vector<std::string>{ Ip(2) + ":80" });
  RunFor(1200ms);
  EXPECT_EQ(near.m_link->AddressesFor("b", "far"), std::vector<std::string>{ Ip(1) + ":80" })
    << "the region is lost";
}

// Guards against a VM that sends callers of other regions to itself because it has just started and
// has heard no VM yet. Without an answer they ask another VM.
TEST_F(PeerLinkTest, AStartingVmDoesNotTakeARegionForLost)
{
  m_zones = { { "a", "r" }, { "b", "far" } };
  Vm& starting = Add(1, "a", "r", Ip(2) + ":99");
  EXPECT_TRUE(starting.m_link->AddressesFor("b", "far").empty());
  EXPECT_EQ(starting.m_link->AddressesFor("a", "r"), std::vector<std::string>{ Ip(1) + ":80" });
  RunFor(5100ms);
  EXPECT_EQ(starting.m_link->AddressesFor("b", "far"), std::vector<std::string>{ Ip(1) + ":80" });
}

// Guards against VMs that decide on the load of an upstream as they met it a quarter of a minute
// ago.
TEST_F(PeerLinkTest, AnnouncesLoads)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "b", "r", Ip(1) + ":99");
  first.m_loadCount = 3;
  RunFor(900ms);
  ASSERT_TRUE(second.m_receivedLoads);
  ASSERT_EQ(second.m_receivedLoads->size(), 3U);
  EXPECT_EQ(second.m_receivedLoads->back().m_upstream, kLoad.m_upstream);
  EXPECT_FALSE(first.m_receivedLoads) << "a VM that has seen none announces none";
}

// The bytes that a VM announces must stay within 7 kB/s however many VMs there are and however many
// loads it has seen, and must carry loads nevertheless.
TEST_F(PeerLinkTest, LoadsKeepTheBoundOnAnnouncedBytes)
{
  namespace ip = boost::asio::ip;
  ip::udp::socket sink(m_io, { ip::make_address(Ip(9)), 28761 });
  std::array<char, 8192> buffer{};
  std::size_t datagrams = 0;
  std::size_t bytes = 0;
  std::function<void()> receive = [&] {
    sink.async_receive(boost::asio::buffer(buffer),
                       [&](const boost::system::error_code& aError, std::size_t aBytes) {
                         datagrams += aError ? 0 : 1;
                         bytes += aError ? 0 : aBytes;
                         aError ? void() : receive();
                       });
  };
  receive();
  int number = 10;
  for (const int vms : { 12, 87, 129, 300 }) {
    Vm& vm = Add(number++, "zone-0", "region-0", Ip(8) + ":99");
    vm.m_loadCount = 1000;
    std::vector<Json::Value> members;
    for (int i = 1; i < vms; ++i) {
      GatewaySettings settings;
      settings.m_name = "entry-" + std::to_string(i);
      settings.m_zone = "zone-" + std::to_string(i % 6);
      settings.m_region = "region-" + std::to_string(i % 6 / 2);
      settings.m_callerAddress = "127.0.0.1:8080";
      settings.m_peerAddress = Ip(9) + ":28761";
      members.push_back(PeerLink::Describe(settings));
    }
    vm.m_link->AddMembers(members);
    vm.m_link->SetLoad(true, 23);
    vm.m_link->SetRevisions({ 12'345, 12'345, 12'345 });
    datagrams = bytes = 0;
    RunFor(1000ms);
    const std::size_t recipients = std::min((vms - 1) / 6, 8) + 4;
    const double announcements = static_cast<double>(datagrams) / static_cast<double>(recipients);
    const double perSecond = static_cast<double>(bytes) / announcements * 2.5;
    const double loadsPerSecond = static_cast<double>(vm.m_loadsTold) / announcements * 2.5;
    EXPECT_LE(perSecond, 7000) << vms << " VMs";
    EXPECT_GE(loadsPerSecond, 40) << vms << " VMs";
    RecordProperty("bytes_per_second_" + std::to_string(vms), std::to_string(perSecond));
    RecordProperty("loads_per_second_" + std::to_string(vms), std::to_string(loadsPerSecond));
    vm.m_link.reset();
  }
}

// Guards against VMs that exceed a limit of an upstream which they have not met themselves.
TEST_F(PeerLinkTest, AnnouncesLimitsAndTheDemandOfZones)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "b", "r", Ip(1) + ":99");
  first.m_zoneDemand = policy::ZoneDemand{ "a", 120, base::SystemClock::Get().Monotonic() };
  RunFor(900ms);
  EXPECT_FALSE(second.m_receivedDemand) << "it costs bytes and nobody needs it";
  const auto seenAt = base::SystemClock::Get().Monotonic() - 500ms;
  first.m_limits = { { "u", 5.8, seenAt }, { "v", std::nullopt, seenAt } };
  RunFor(900ms);
  ASSERT_EQ(second.m_receivedLimits.size(), 2U);
  EXPECT_EQ(second.m_receivedLimits[0].m_upstream, "u");
  EXPECT_DOUBLE_EQ(second.m_receivedLimits[0].m_perSecond.value_or(0), 5.8);
  EXPECT_FALSE(second.m_receivedLimits[1].m_perSecond);
  EXPECT_LE(second.m_receivedLimits[0].m_seenAt - seenAt, 100ms);
  EXPECT_GE(second.m_receivedLimits[0].m_seenAt - seenAt, -100ms);
  ASSERT_TRUE(second.m_receivedDemand);
  EXPECT_EQ(second.m_receivedDemand->m_requestsPerSecond, 120);
  EXPECT_EQ(first.m_link->KnownZoneVms().at("b"), 1U);
}

// Guards against announcements that grow with the number of limits, and against limits that are
// never told.
TEST_F(PeerLinkTest, AnnouncesManyLimitsInTurn)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  first.m_link->SetLoad(true, 10);
  second.m_link->SetLoad(true, 10);
  RunFor(900ms);
  constexpr std::size_t kLimits = 10;
  for (std::size_t i = 0; i < kLimits; ++i) {
    first.m_limits.push_back(
      { "u" + std::to_string(i), 1.0, base::SystemClock::Get().Monotonic() });
  }
  std::set<std::string> heard;
  for (int i = 0; i < 60 && heard.size() < kLimits; ++i) {
    RunFor(50ms);
    EXPECT_LE(second.m_receivedLimits.size(), 4U);
    for (const policy::LimitObservation& limit : second.m_receivedLimits) {
      heard.insert(limit.m_upstream);
    }
  }
  EXPECT_EQ(heard.size(), kLimits);
}

// Guards against a VM that exceeds the limits of upstreams after its start because it has not heard
// of all of them.
TEST_F(PeerLinkTest, AStartingVmHearsAllLimitsAtOnce)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  first.m_link->SetLoad(true, 10);
  constexpr std::size_t kLimits = 40;
  for (std::size_t i = 0; i < kLimits; ++i) {
    first.m_limits.push_back(
      { "u" + std::to_string(i), 1.0, base::SystemClock::Get().Monotonic() });
  }
  RunFor(100ms);
  Vm& starting = Add(2, "a", "r", Ip(1) + ":99");
  RunFor(100ms);
  EXPECT_EQ(starting.m_receivedLimits.size(), kLimits);
}

// Guards against a VM that costs another upstream because it has just started.
TEST_F(PeerLinkTest, AStartingVmHearsOfCrashingRequestsAtOnce)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  first.m_link->SetLoad(true, 10);
  policy::Strike strike;
  strike.m_id = 3;
  strike.m_remaining = 5000ms;
  first.m_strikes = { strike };
  RunFor(100ms);
  Vm& starting = Add(2, "a", "r", Ip(1) + ":99");
  RunFor(100ms);
  EXPECT_EQ(starting.m_received.size(), 1U);
}

// Guards against VMs that go on sending a crashing request until the next regular announcement, and
// against many announcements in a row.
TEST_F(PeerLinkTest, AnnouncesSoonButNotInARow)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  RunFor(450ms);
  policy::Strike strike;
  strike.m_id = 3;
  strike.m_remaining = 5000ms;
  first.m_strikes = { strike };
  for (int i = 0; i < 20; ++i) {
    first.m_link->AnnounceSoon();
    RunFor(10ms);
  }
  // Three announcements at most in the 200 ms, each to the peer of the zone and to the seed.
  EXPECT_GE(second.m_received.size(), 1U);
  EXPECT_LE(second.m_received.size(), 6U);
}

// Guards against VMs that answer each other without end while none of them is ready.
TEST_F(PeerLinkTest, StartingVmsDoNotAnswerEachOther)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  first.m_limits = second.m_limits = { { "u", 1.0, base::SystemClock::Get().Monotonic() } };
  RunFor(900ms);
  // Two or three announcements each 400 ms: to peers of the zone, and to the seed.
  EXPECT_GT(second.m_limitMessages, 0);
  EXPECT_LE(second.m_limitMessages, 9);
}

// Guards against a VM that ends, or hears nothing more, after one message caused an error.
TEST_F(PeerLinkTest, GoesOnAfterAnUnexpectedError)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  first.m_limits = { { "u", 1.0, base::SystemClock::Get().Monotonic() } };
  second.m_isFailing = true;
  RunFor(900ms);
  second.m_isFailing = false;
  RunFor(900ms);
  EXPECT_EQ(second.m_receivedLimits.size(), 1U);
}

// Guards against a VM that ends because of a malformed datagram.
TEST_F(PeerLinkTest, MalformedDatagramsAreIgnored)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  first.m_limits = { { "u", 1.0, base::SystemClock::Get().Monotonic() } };
  first.m_zoneDemand = policy::ZoneDemand{ "a", 120, base::SystemClock::Get().Monotonic() };
  boost::asio::ip::udp::socket hostile(m_io, { boost::asio::ip::make_address(Ip(3)), 0 });
  const boost::asio::ip::udp::endpoint target{ boost::asio::ip::make_address(Ip(2)), 28761 };
  const std::string valid =
    R"({"jsonrpc":"2.0","method":"announce","params":{"name":"vm9","zone":"a","region":"r",)"
    R"("caller_address":"1.2.3.4:1","revisions":[1,2,3],"millicores":200,"requests_per_second":4,)"
    R"("following":true,"store_unreachable":true,"strikes":[["a","b","c","d",500,1]],)"
    R"("strikes_after_completion":["c"],)"
    R"("limits":[["u",1.5,20]],"zone_demand":["a",10,100]}})";
  const std::vector<std::string> pieces{
    "null", "-1",      "1e400", "[]", "{}", "\"", "18446744073709551616",
    "true", "\\u0000", "[[[[",  "}",  ""
  };
  std::minstd_rand random{ 5 };
  for (int i = 0; i < 3000; ++i) {
    std::string text = valid;
    for (std::size_t n = 1 + random() % 3; n > 0; --n) {
      const std::size_t at = random() % text.size();
      text.replace(at, random() % 12, pieces[random() % pieces.size()]);
    }
    boost::system::error_code ignored;
    hostile.send_to(boost::asio::buffer(text), target, 0, ignored);
    m_io.poll();
    m_io.restart();
  }
  RunFor(900ms);
  EXPECT_EQ(second.m_receivedLimits.size(), 1U);
  EXPECT_GE(second.m_link->KnownZoneVms().at("a"), 3U) << "some were well formed";
}

TEST_F(PeerLinkTest, LeavingAndSilentVmsAreLeftOut)
{
  Vm& first = Add(1, "a", "r", Ip(1) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  Add(3, "a", "r", Ip(1) + ":99");
  RunFor(600ms);
  ASSERT_EQ(first.m_link->AddressesFor("a", "r").size(), 3U);
  second.m_link->AnnounceLeaving();
  RunFor(100ms);
  EXPECT_EQ(first.m_link->AddressesFor("a", "r").size(), 2U);
  m_vms.pop_back();
  m_io.restart();
  RunFor(2200ms);
  EXPECT_EQ(first.m_link->AddressesFor("a", "r"), std::vector<std::string>{ Ip(1) + ":80" });
}

// Guards against lookups that return a VM that is stopping when several stop at once, and against
// lookups that return none while another VM of the region runs.
TEST_F(PeerLinkTest, SeveralVmsStopAtOnce)
{
  Vm& first = Add(1, "a", "r", Ip(4) + ":99");
  Vm& second = Add(2, "a", "r", Ip(4) + ":99");
  Add(3, "b", "r", Ip(4) + ":99");
  Vm& running = Add(4, "c", "r", Ip(1) + ":99");
  RunFor(1000ms);
  ASSERT_EQ(running.m_link->AddressesFor("a", "r").size(), 2U);
  first.m_link->AnnounceLeaving();
  second.m_link->AnnounceLeaving();
  RunFor(100ms);
  const auto addresses = running.m_link->AddressesFor("a", "r");
  EXPECT_EQ(addresses.size(), 2U) << "the rest of the region";
  EXPECT_EQ(std::ranges::count(addresses, Ip(1) + ":80"), 0);
  EXPECT_EQ(std::ranges::count(addresses, Ip(2) + ":80"), 0);
  const auto own = first.m_link->AddressesFor("a", "r");
  EXPECT_EQ(std::ranges::count(own, Ip(1) + ":80"), 0) << "a stopping VM returns itself";
  EXPECT_EQ(std::ranges::count(own, Ip(2) + ":80"), 0);
}

// Guards against lookups that return a VM which has restarted and cannot serve requests yet.
TEST_F(PeerLinkTest, VmsThatAreNotReadyAreLeftOut)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  RunFor(600ms);
  EXPECT_EQ(first.m_link->AddressesFor("a", "r").size(), 2U) << "none is ready";
  first.m_link->SetLoad(true, 0);
  EXPECT_EQ(first.m_link->AddressesFor("a", "r"), std::vector<std::string>{ Ip(1) + ":80" });
  second.m_link->SetLoad(true, 0);
  RunFor(600ms);
  EXPECT_EQ(first.m_link->AddressesFor("a", "r").size(), 2U);
}

// Guards against spreading a zone's requests over many more VMs than are needed for them.
TEST_F(PeerLinkTest, LookupsReturnTheVmsThatTheZoneNeeds)
{
  for (int i = 1; i <= 8; ++i) {
    Vm& vm = Add(i, "a", "r", Ip(1) + ":99");
    vm.m_settings.m_cores = i <= 3 ? 0.5 : 0.1;
    vm.m_link->SetLoad(true, 10);
  }
  RunFor(1000ms);
  auto& link = *m_vms.front()->m_link;
  auto addresses = link.AddressesFor("a", "r");
  std::ranges::sort(addresses);
  EXPECT_EQ(addresses, (std::vector<std::string>{ Ip(1) + ":80", Ip(2) + ":80", Ip(3) + ":80" }));
  m_vms[1]->m_link->SetLoad(true, 5000);
  RunFor(600ms);
  EXPECT_EQ(link.AddressesFor("a", "r").size(), 8U);
}

// Guards against a VM that asks small VMs, which have a new version late, and none of those that
// watch the store.
TEST_F(PeerLinkTest, VmsThatWatchTheStoreAreAskedFirst)
{
  for (int i = 1; i <= 8; ++i) {
    Add(i, i == 8 ? "b" : "a", "r", Ip(1) + ":99").m_settings.m_cores = i == 3 ? 0.5 : 0.07;
  }
  m_vms.back()->m_settings.m_cores = 0.5;
  m_vms.front()->m_settings.m_cores = 0.5;
  RunFor(1000ms);
  for (int i = 0; i < 10; ++i) {
    const auto peers = m_vms.front()->m_link->RunningPeers();
    ASSERT_EQ(peers.size(), 5U);
    EXPECT_EQ(peers.front(), Ip(3) + ":28761");
    EXPECT_EQ(peers.back(), Ip(8) + ":28761") << "another zone";
  }
}

// Guards against a VM that does not learn that its store revisions are behind those of its peers.
TEST_F(PeerLinkTest, RevisionsReachOtherVms)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  const StoreRevisions revisions{ 5, 1ULL << 40, 7 };
  first.m_link->SetRevisions(revisions);
  RunFor(900ms);
  EXPECT_EQ(second.m_seen, revisions);
  EXPECT_EQ(second.m_revisionPeer, Ip(1) + ":28761");
}

// Guards against a VM that takes revisions which the store has given out twice for the same.
TEST_F(PeerLinkTest, RevisionsKeepTheirEras)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  for (const StoreRevisions& revisions : { StoreRevisions{ { 5, 2 }, { 6, 2 }, { 90, 1 } },
                                           StoreRevisions{ { 5, 2 }, { 6, 2 }, { 7, 2 } },
                                           StoreRevisions{ { 5, 3 }, { 6, 3 }, {} },
                                           StoreRevisions{ { 5, 0 }, { 6, 0 }, {} },
                                           StoreRevisions{ 5, 6, {} } }) {
    first.m_link->SetRevisions(revisions);
    RunFor(900ms);
    EXPECT_EQ(second.m_seen, revisions);
  }
}

// Guards against VMs that wait for each other's changes although none of them watches the store,
// and against VMs that take expired registrations for gone upstreams after an outage of the store.
TEST_F(PeerLinkTest, AnnouncesWatchesAndOutagesOfTheStore)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  RunFor(900ms);
  EXPECT_EQ(second.m_followersHeard, 0);
  EXPECT_EQ(second.m_outagesHeard, 0);
  first.m_link->SetFollowing(true);
  first.m_link->AnnounceToZone();
  RunFor(100ms);
  EXPECT_EQ(second.m_followersHeard, 1);
  EXPECT_EQ(second.m_outagesHeard, 0);
  first.m_link->SetStoreUnreachable(true);
  RunFor(200ms);
  EXPECT_GE(second.m_outagesHeard, 1) << "before the next regular announcement";
  first.m_link->SetStoreUnreachable(false);
  RunFor(100ms);
  const int heard = second.m_outagesHeard;
  RunFor(900ms);
  EXPECT_EQ(second.m_outagesHeard, heard) << "the outage is over";
}

// A zone of 21 VMs. Guards against lookups from which running VMs disappear now and then, because
// each VM hears from a part of the others only: callers close their connections to such VMs.
TEST_F(PeerLinkTest, LookupsOfALargeZoneReturnAllRunningVms)
{
  constexpr int kVms = 21;
  std::vector<Json::Value> members;
  for (int i = 1; i <= kVms; ++i) {
    members.push_back(PeerLink::Describe(Add(i, "a", "r", Ip(1) + ":99").m_settings));
  }
  for (const auto& vm : m_vms) {
    vm->m_link->AddMembers(members);
  }
  RunFor(3000ms);
  for (int i = 0; i < 20; ++i) {
    RunFor(200ms);
    EXPECT_EQ(m_vms.front()->m_link->AddressesFor("a", "r").size(), kVms);
    EXPECT_EQ(m_vms.back()->m_link->AddressesFor("a", "r").size(), kVms);
  }
  m_vms.erase(m_vms.begin() + 5);
  m_io.restart();
  RunFor(4500ms);
  EXPECT_EQ(m_vms.front()->m_link->AddressesFor("a", "r").size(), kVms - 1);
}

// Guards against news of the lead watcher that reach other zones only with the regular
// announcements.
TEST_F(PeerLinkTest, PassesOnHeartbeatsAndNewsOfTheLeadWatcher)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "b", "q", Ip(1) + ":99");
  RunFor(600ms);
  first.m_lead = policy::LeadWatcher::Heartbeat{ 5, 4'000'000'000, 7 };
  first.m_link->SetRevisions({ 3, 4, 5 });
  first.m_link->AnnounceToOtherZones();
  RunFor(50ms);
  EXPECT_EQ(second.m_seen, (StoreRevisions{ 3, 4, 5 }));
  EXPECT_EQ(second.m_receivedLead, first.m_lead);
  EXPECT_FALSE(second.m_resignedRank);
  first.m_link->AnnounceLeadResigned(5);
  RunFor(50ms);
  EXPECT_EQ(second.m_resignedRank, 5U);
}

// Guards against a request that crashes upstreams once per VM because VMs do not share strikes.
TEST_F(PeerLinkTest, StrikesReachOtherVms)
{
  Vm& first = Add(1, "a", "r", Ip(2) + ":99");
  Vm& second = Add(2, "a", "r", Ip(1) + ":99");
  policy::Strike strike;
  strike.m_fingerprint = { 0xFFFFFFFFFFFFFFFF, 2 };
  strike.m_id = 3;
  strike.m_upstream = 4;
  strike.m_remaining = 5000ms;
  strike.m_correlated = true;
  strike.m_isRepeat = true;
  strike.m_completions = 7;
  strike.m_hadCompleted = true;
  first.m_strikes = { strike };
  RunFor(900ms);
  ASSERT_FALSE(second.m_received.empty());
  EXPECT_EQ(second.m_received.front(), strike);
}

} // namespace
} // namespace jaylane::gateway
