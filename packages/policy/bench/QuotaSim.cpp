/// Prints how much of a quota is used, and the bytes sent for quotas, in a simulated fleet.

#include "QuotaModel.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace jaylane::policy::sim {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kVms = 30;
constexpr unsigned kSeeds = 5;
const TeamQuota kTeam{ "team", 100, 100 };

struct Case
{
  const char* m_name;
  QuotaFleet::Demand m_demand;
  bool m_isThirdKilled = false;
};

QuotaFleet::Demand OnOneVm(std::function<std::size_t(double aSeconds)> aVmAt)
{
  return [vmAt = std::move(aVmAt)](const std::string&, std::size_t aVm, double aSeconds) {
    return vmAt(aSeconds) == aVm ? 150.0 : 0.0;
  };
}

void PrintUse()
{
  const auto even = [](const std::string&, std::size_t, double) { return 150.0 / kVms; };
  const Case cases[] = {
    { "on one VM", OnOneVm([](double) { return 7; }) },
    { "moves each 3 s",
      OnOneVm([](double aNow) { return static_cast<std::size_t>(aNow / 3) * 7 % kVms; }) },
    { "even", even },
    { "even, a third killed (without the broker)", even, true },
  };
  fmt::print("{:45} lowest share used, highest excess of {} runs\n", "demand 1.5 of quota", kSeeds);
  for (const Case& demand : cases) {
    double used = 1;
    double excess = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      QuotaFleet fleet(kVms, { kTeam }, demand.m_demand, seed);
      fleet.RunFor(6s);
      fleet.Measure();
      for (std::size_t i = 1; demand.m_isThirdKilled && i <= kVms / 3; ++i) {
        fleet.Kill(i);
      }
      fleet.RunFor(30s);
      used = std::min(used, fleet.Used(kTeam));
      excess = std::max(excess, fleet.Of("team").m_excess);
    }
    fmt::print("{:45} {:.3f} {:.1f}\n", demand.m_name, used, excess);
  }
}

/// The teams of the bookings load, divided among brokers.
void PrintBytes(std::size_t aVms, int aBrokers)
{
  double busiest = 0;
  double mean = 0;
  for (int broker = 0; broker < aBrokers; ++broker) {
    std::vector<TeamQuota> quotas;
    std::map<std::string, double> rates;
    for (int rank = 1 + broker; rank <= 86; rank += aBrokers) {
      const std::string name = "team-" + std::to_string(rank);
      rates[name] = 590 * std::pow(rank, -1.2);
      quotas.push_back({ name, 1.6 * rates[name], 1.6 * rates[name] });
    }
    QuotaFleet fleet(aVms, quotas, [&](const std::string& aTeam, std::size_t, double) {
      return rates.at(aTeam) / static_cast<double>(aVms);
    });
    fleet.RunFor(12s);
    fleet.Measure();
    fleet.RunFor(3s);
    const std::vector<double> bytes = fleet.BytesPerSecond();
    busiest = std::max(busiest, std::ranges::max(bytes));
    mean += std::accumulate(bytes.begin(), bytes.end(), 0.0) / static_cast<double>(aVms);
  }
  fmt::print("{} VMs, {} brokers: bytes/s sent: mean of the VMs {:.0f}, busiest broker {:.0f}\n",
             aVms,
             aBrokers,
             mean,
             busiest);
}

} // namespace
} // namespace jaylane::policy::sim

int main()
{
  using namespace jaylane::policy::sim;
  PrintUse();
  for (const std::size_t vms : { 12, 87, 300 }) {
    for (const int brokers : { 1, 8 }) {
      PrintBytes(vms, brokers);
    }
  }
}
