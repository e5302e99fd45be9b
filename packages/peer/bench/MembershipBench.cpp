#include "jaylane/peer/Membership.h"
#include "jaylane/peer/MessageCodec.h"

#include <benchmark/benchmark.h>
#include <json/writer.h>
#include <random>

namespace jaylane::peer {
namespace {

std::vector<MemberInfo> MakeFleet(std::size_t aVms, std::size_t aZones)
{
  std::vector<MemberInfo> fleet;
  for (std::size_t i = 0; i < aVms; ++i) {
    MemberInfo member;
    member.m_id = "vm-" + std::to_string(i);
    member.m_incarnation = std::string(26, 'f') + std::to_string(100'000 + i);
    member.m_region = "region-1";
    member.m_zone = "zone-" + std::to_string(i % aZones);
    member.m_peerAddress = "10.10.10.10:10000";
    member.m_scope = member.m_incarnation + "-1";
    member.m_heartbeat = 1;
    fleet.push_back(member);
  }
  return fleet;
}

// CPU time of one exchange round of a VM: builds, merges and encodes a digest.
void BM_ExchangeRound(benchmark::State& aState)
{
  const auto fleet =
    MakeFleet(static_cast<std::size_t>(aState.range(0)), static_cast<std::size_t>(aState.range(1)));
  Membership membership(fleet.front(), {});
  membership.SetListedMembers(fleet, {});
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  std::mt19937_64 generator(1);
  const auto random = [&generator] { return generator(); };
  std::size_t bytes = 0;
  for (auto unused : aState) {
    (void)unused;
    ExchangeMessage message;
    message.m_members = membership.Digest(random);
    membership.Merge(message.m_members, {});
    bytes = Json::writeString(builder, Encode(message)).size();
  }
  aState.counters["message_bytes"] = static_cast<double>(bytes);
  aState.counters["tracked"] = static_cast<double>(membership.size());
}
BENCHMARK(BM_ExchangeRound)->Args({ 12, 6 })->Args({ 600, 43 })->Args({ 6300, 43 });

} // namespace
} // namespace jaylane::peer
