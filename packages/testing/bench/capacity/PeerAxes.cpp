#include "CapacityReport.h"

#include "AllocationCount.h"
#include "jaylane/peer/Membership.h"
#include "jaylane/peer/MessageCodec.h"
#include "jaylane/platform/JsonText.h"
#include "jaylane/platform/VmList.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace jaylane::testing {

namespace {

// Size of the target fleet: zones, and entry VMs in each zone.
constexpr std::size_t kTargetZones = 43;
constexpr std::size_t kTargetVms = 147;
constexpr std::chrono::seconds kRoundInterval{ 1 };

std::vector<peer::MemberInfo> MakeFleet(std::size_t aZones, std::size_t aVmsPerZone)
{
  std::vector<peer::MemberInfo> fleet;
  for (std::size_t i = 0; i < aZones * aVmsPerZone; ++i) {
    peer::MemberInfo member;
    member.m_id = fmt::format("vm-{}", i);
    member.m_incarnation = fmt::format("{:032x}", 0xabcdef0123456789 * (i + 1));
    member.m_region = fmt::format("region-{}", i % aZones % 14);
    member.m_zone = fmt::format("zone-{}", i % aZones);
    member.m_peerAddress = fmt::format("10.{}.{}.10:10000", i / 256, i % 256);
    member.m_scope = member.m_incarnation + "-12";
    member.m_heartbeat = 1;
    fleet.push_back(std::move(member));
  }
  return fleet;
}

CapacityPoint MeasureFleet(double aAxisValue, std::size_t aZones, std::size_t aVmsPerZone)
{
  const auto fleet = MakeFleet(aZones, aVmsPerZone);
  const auto before = policy::AllocatedBytes();
  peer::Membership membership(fleet.front(), {});
  membership.SetListedMembers(fleet, {});
  const auto state = static_cast<double>(policy::AllocatedBytes()) - static_cast<double>(before);
  std::mt19937_64 generator(1);
  const auto random = [&generator] { return generator(); };
  std::size_t bytes = 0;
  const double round = CpuMicrosPerCall([&] {
    peer::ExchangeMessage message;
    message.m_members = membership.Digest(random);
    const Json::Value json = peer::Encode(message);
    bytes = platform::WriteJson(json).size();
    membership.Merge(peer::Decode<peer::ExchangeMessage>(json)->m_members, {});
  });
  return { aAxisValue,
           { { "state bytes", state },
             { "message bytes", static_cast<double>(bytes) },
             { "encode and merge us", round } } };
}

/// Simulates the exchanges of all VMs of three zones in rounds of one second. No VM fails, so every
/// suspect is a false one.
/// @return suspects per VM and round, counted after kWarmUpRounds.
CapacityPoint MeasureFalseSuspects(std::size_t aVmsPerZone)
{
  constexpr std::size_t kZones = 3;
  constexpr int kWarmUpRounds = 20;
  constexpr int kRounds = 30;
  const auto fleet = MakeFleet(kZones, aVmsPerZone);
  std::vector<peer::Membership> vms;
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  for (const auto& info : fleet) {
    vms.emplace_back(info, peer::MembershipOptions{});
    vms.back().SetListedMembers(fleet, now);
  }
  std::mt19937_64 generator(1);
  const auto random = [&generator] { return generator(); };
  double suspects = 0;
  for (int round = 0; round < kRounds; ++round, now += kRoundInterval) {
    for (peer::Membership& vm : vms) {
      vm.UpdateSelf(vm.Self().m_scope, false, {}, {});
      for (const auto& partner : vm.PickPartners(random)) {
        peer::Membership& other = vms[std::stoul(partner.m_id.substr(3))];
        other.Merge(vm.Digest(random), now);
        vm.Merge(other.Digest(random), now);
      }
      suspects += round < kWarmUpRounds ? 0.0 : static_cast<double>(vm.Suspects(now).size());
    }
  }
  const double rounds = static_cast<double>(vms.size()) * (kRounds - kWarmUpRounds);
  return { static_cast<double>(aVmsPerZone), { { "false suspects a round", suspects / rounds } } };
}

/// Measures the platform's VM list with one upstream for each entry VM.
CapacityPoint MeasureVmList(std::size_t aVms)
{
  platform::VmList list;
  for (const auto& member : MakeFleet(kTargetZones, aVms / kTargetZones)) {
    platform::VmEntry vm;
    vm.m_id = member.m_id;
    vm.m_region = member.m_region;
    vm.m_zone = member.m_zone;
    vm.m_address = member.m_peerAddress;
    vm.m_peerAddress = member.m_peerAddress;
    vm.m_adminAddress = member.m_peerAddress;
    vm.m_incarnation = member.m_incarnation;
    vm.m_role = platform::VmRole::Entry;
    list.m_vms.push_back(vm);
    vm.m_role = platform::VmRole::Upstream;
    vm.m_service = "tables-svc";
    list.m_vms.push_back(vm);
  }
  const std::string text = platform::WriteJson(list.ToJson());
  const double parse =
    CpuMicrosPerCall([&] { (void)platform::VmList::Parse(*platform::ParseJsonObject(text)); });
  return { static_cast<double>(list.m_vms.size() / 2),
           { { "list bytes", static_cast<double>(text.size()) }, { "parse us", parse } } };
}

} // namespace

void MeasurePeers(CapacityReport& aReport)
{
  aReport.Add("VMs a zone, 43 zones",
              { MeasureFleet(2, kTargetZones, 2),
                MeasureFleet(12, kTargetZones, 12),
                MeasureFleet(50, kTargetZones, 50),
                MeasureFleet(147, kTargetZones, kTargetVms) },
              kTargetVms);
  aReport.Add("zones, 147 VMs each",
              { MeasureFleet(6, 6, kTargetVms),
                MeasureFleet(20, 20, kTargetVms),
                MeasureFleet(43, kTargetZones, kTargetVms) },
              kTargetZones);
  aReport.Add("VM list: entry VMs, one upstream each",
              { MeasureVmList(86), MeasureVmList(860), MeasureVmList(6321) },
              6300);
  aReport.Add("VMs a zone, 3 zones, exchange rounds",
              { MeasureFalseSuspects(12), MeasureFalseSuspects(50), MeasureFalseSuspects(147) },
              kTargetVms);
}

} // namespace jaylane::testing
