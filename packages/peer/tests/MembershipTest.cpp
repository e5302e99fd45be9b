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

// Guards against a peer with an older view that overwrites newer state or adds VMs that the
// platform no longer lists.
TEST_F(MembershipTest, MergeIgnoresOlderHeartbeatsAndUnlistedMembers)
{
  ListPeers();
  m_membership.Merge({ MakeMember("near", "a", 7), MakeMember("unlisted", "a", 9) },
                     m_clock.Monotonic());
  m_membership.Merge({ MakeMember("near", "a", 5) }, m_clock.Monotonic());
  EXPECT_EQ(m_membership.Find("i-near")->m_heartbeat, 7u);
  EXPECT_EQ(m_membership.Find("i-unlisted"), nullptr);
}

// Guards against messages that replace the address of a member or remove it.
TEST_F(MembershipTest, IdentityStaysAsListed)
{
  ListPeers();
  MemberInfo update = MakeMember("near", "a", 3).WithoutIdentity();
  update.m_scope = "i-near-1";
  update.m_leaving = true;
  m_membership.Merge({ update }, m_clock.Monotonic());
  MemberInfo expected = MakeMember("near", "a", 3);
  expected.m_scope = "i-near-1";
  expected.m_leaving = true;
  EXPECT_EQ(*m_membership.Find("i-near"), expected);
}

// Guards against a paused VM that is used forever, and against one that resumed but stays excluded.
TEST_F(MembershipTest, SilentMembersAreSuspectedUntilTheirNextHeartbeat)
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

// Guards against exchanges only within the zone, which would leave zones without updates of each
// other.
TEST_F(MembershipTest, PartnersComeFromBothZones)
{
  ListPeers();
  const auto partners = m_membership.PickPartners([] { return std::uint64_t{ 3 }; });
  ASSERT_EQ(partners.size(), 2u);
  EXPECT_EQ(partners[0].m_id, "near");
  EXPECT_EQ(partners[1].m_id, "far");
}

// Guards against state and messages that grow with the number of all VMs.
RC_GTEST_PROP(Membership, StateAndDigestSizeAreBounded, ())
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
  RC_ASSERT(membership.size() <= perZone + (zones - 1) * options.m_maxPerOtherZone);
  RC_ASSERT(membership.Digest([] { return std::uint64_t{ 5 }; }).size() <=
            options.m_maxDigestMembers + 1);
}

// Guards against heartbeats that do not reach all members by repeated pairwise exchanges.
RC_GTEST_PROP(Membership, HeartbeatsSpread, (std::uint64_t aSeed))
{
  constexpr std::size_t kVms = 12;
  std::vector<MemberInfo> members;
  for (std::size_t i = 0; i < kVms; ++i) {
    members.push_back(MakeMember("vm" + std::to_string(i), i % 2 ? "a" : "b"));
  }
  std::vector<Membership> vms;
  for (const MemberInfo& info : members) {
    vms.emplace_back(info, MembershipOptions{ .m_maxPerOtherZone = kVms });
    vms.back().SetListedMembers(members, {});
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
    for (const MemberInfo& info : members) {
      RC_ASSERT(vm.Find(info.m_incarnation)->m_heartbeat == 1u);
    }
  }
}

// Guards against healthy members of a large zone that are suspected because heartbeats spread too
// slowly.
TEST(Membership, LargeZonesSuspectFewHealthyMembers)
{
  constexpr std::size_t kVms = 200;
  constexpr int kRounds = 24;
  std::vector<MemberInfo> members;
  for (std::size_t i = 0; i < kVms; ++i) {
    members.push_back(MakeMember("vm" + std::to_string(i), i % 4 ? "a" : "b"));
  }
  base::ManualClock clock;
  std::vector<Membership> vms;
  for (const MemberInfo& info : members) {
    vms.emplace_back(info, MembershipOptions{});
    vms.back().SetListedMembers(members, clock.Monotonic());
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
