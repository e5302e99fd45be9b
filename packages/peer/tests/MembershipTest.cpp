#include "jaylane/peer/Membership.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <random>

namespace jaylane::peer {
namespace {

using std::chrono::seconds;

MemberInfo MakeMember(const std::string& aId,
                      const std::string& aZone,
                      std::uint64_t aHeartbeat = 0)
{
  MemberInfo member;
  member.m_id = aId;
  member.m_incarnation = "i-" + aId;
  member.m_zone = aZone;
  member.m_heartbeat = aHeartbeat;
  return member;
}

class MembershipTest : public testing::Test
{
protected:
  base::ManualClock m_clock;
  Membership m_membership{ MakeMember("self", "a"), {} };

  void ListPeers()
  {
    m_membership.SetListedMembers(
      { MakeMember("self", "a"), MakeMember("near", "a"), MakeMember("far", "b") },
      m_clock.Monotonic());
  }
};

// Guards against a lagging peer overwriting newer news, or adding VMs that the platform dropped.
TEST_F(MembershipTest, OnlyNewerNewsOfListedMembersCounts)
{
  ListPeers();
  m_membership.Merge({ MakeMember("near", "a", 7), MakeMember("ghost", "a", 9) },
                     m_clock.Monotonic());
  m_membership.Merge({ MakeMember("near", "a", 5) }, m_clock.Monotonic());
  EXPECT_EQ(m_membership.Find("i-near")->m_heartbeat, 7u);
  EXPECT_EQ(m_membership.Find("i-ghost"), nullptr);
}

// Guards against messages that replace a listed address, or leave a member without one.
TEST_F(MembershipTest, IdentityStaysAsListed)
{
  ListPeers();
  MemberInfo news = MakeMember("near", "a", 3).WithoutIdentity();
  news.m_scope = "i-near-1";
  news.m_leaving = true;
  m_membership.Merge({ news }, m_clock.Monotonic());
  MemberInfo expected = MakeMember("near", "a", 3);
  expected.m_scope = "i-near-1";
  expected.m_leaving = true;
  EXPECT_EQ(*m_membership.Find("i-near"), expected);
}

// Guards against a paused VM being used for ever, and against one that woke staying excluded.
TEST_F(MembershipTest, SilenceMakesSuspectAndNewsClears)
{
  ListPeers();
  EXPECT_TRUE(m_membership.Suspects(m_clock.Monotonic()).empty());
  m_clock.Advance(seconds{ 4 });
  EXPECT_EQ(m_membership.Suspects(m_clock.Monotonic()).size(), 2u);
  m_membership.MarkUnreachable("i-near");
  EXPECT_EQ(m_membership.Unreachable(), std::set<std::string>{ "i-near" });
  m_membership.Merge({ MakeMember("near", "a", 1) }, m_clock.Monotonic());
  EXPECT_TRUE(m_membership.Unreachable().empty());
}

// Guards against exchanges that stay within the zone, so that zones learn nothing of each other.
TEST_F(MembershipTest, PartnersComeFromBothZones)
{
  ListPeers();
  const auto partners = m_membership.PickPartners([] { return std::uint64_t{ 3 }; });
  ASSERT_EQ(partners.size(), 2u);
  EXPECT_EQ(partners[0].m_id, "near");
  EXPECT_EQ(partners[1].m_id, "far");
}

// Guards against message size and state that grow with the fleet.
RC_GTEST_PROP(Membership, CostIsBoundedByTheZone, ())
{
  const auto perZone = *rc::gen::inRange<std::size_t>(1, 60);
  const auto zones = *rc::gen::inRange<std::size_t>(1, 20);
  const MembershipOptions options;
  Membership membership(MakeMember("self", "z0"), options);
  std::vector<MemberInfo> listed;
  for (std::size_t i = 0; i < zones * perZone; ++i) {
    listed.push_back(MakeMember("vm" + std::to_string(i), "z" + std::to_string(i % zones), 1));
  }
  membership.SetListedMembers(listed, {});
  RC_ASSERT(membership.size() <= perZone + (zones - 1) * options.m_perOtherZone);
  RC_ASSERT(membership.Digest([] { return std::uint64_t{ 5 }; }).size() <= options.m_maxDigest + 1);
}

// Guards against news that never reaches a member: repeated pairwise exchanges spread heartbeats.
RC_GTEST_PROP(Membership, HeartbeatsSpread, (std::uint64_t aSeed))
{
  constexpr std::size_t kVms = 12;
  std::vector<MemberInfo> infos;
  for (std::size_t i = 0; i < kVms; ++i) {
    infos.push_back(MakeMember("vm" + std::to_string(i), i % 2 ? "a" : "b"));
  }
  std::vector<Membership> vms;
  for (const MemberInfo& info : infos) {
    vms.emplace_back(info, MembershipOptions{ .m_perOtherZone = kVms });
    vms.back().SetListedMembers(infos, {});
  }
  const auto random = [&aSeed] {
    return aSeed = aSeed * 6364136223846793005u + 1442695040888963407u, aSeed >> 33;
  };
  constexpr int kRounds = 12;
  for (int round = 0; round < kRounds; ++round) {
    for (Membership& vm : vms) {
      for (const MemberInfo& partner : vm.PickPartners(random)) {
        Membership& other = vms[std::stoul(partner.m_id.substr(2))];
        other.Merge(vm.Digest(random), {});
        vm.Merge(other.Digest(random), {});
      }
    }
  }
  for (const Membership& vm : vms) {
    for (const MemberInfo& info : infos) {
      RC_ASSERT(vm.Find(info.m_incarnation)->m_heartbeat == 1u);
    }
  }
}

// Guards against healthy members of a large zone being suspected because news spreads too slowly.
TEST(Membership, LargeZonesSuspectFewHealthyMembers)
{
  constexpr std::size_t kVms = 200;
  constexpr int kRounds = 24;
  std::vector<MemberInfo> infos;
  for (std::size_t i = 0; i < kVms; ++i) {
    infos.push_back(MakeMember("vm" + std::to_string(i), i % 4 ? "a" : "b"));
  }
  base::ManualClock clock;
  std::vector<Membership> vms;
  for (const MemberInfo& info : infos) {
    vms.emplace_back(info, MembershipOptions{});
    vms.back().SetListedMembers(infos, clock.Monotonic());
  }
  std::mt19937_64 random(1);
  const auto next = [&random] { return random(); };
  std::size_t suspects = 0;
  for (int round = 0; round < kRounds; ++round, clock.Advance(seconds{ 1 })) {
    suspects = 0;
    for (Membership& vm : vms) {
      vm.UpdateSelf({}, false, {}, {});
      for (const MemberInfo& partner : vm.PickPartners(next)) {
        Membership& other = vms[std::stoul(partner.m_id.substr(2))];
        other.Merge(vm.Digest(next), clock.Monotonic());
        vm.Merge(other.Digest(next), clock.Monotonic());
      }
      suspects += vm.Suspects(clock.Monotonic()).size();
    }
  }
  EXPECT_LT(suspects, kVms);
}

} // namespace
} // namespace jaylane::peer
