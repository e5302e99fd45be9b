#include "jaylane/policy/UpstreamState.h"

#include "jaylane/base/Charts.h"

#include <cassert>

namespace jaylane::policy {

namespace {

void ResetFailures(UpstreamState& aUpstream)
{
  aUpstream.m_failures = 0;
  aUpstream.m_probeFailures = 0;
}

void StartRamp(UpstreamState& aUpstream)
{
  ResetFailures(aUpstream);
  // A high latency from before the ejection would keep requests away as long as other upstreams
  // have free slots.
  aUpstream.m_latency = 0;
}

base::BoundChart<UpstreamState> MakeChart()
{
  const base::ChartHooks<UpstreamState> hooks{
    { { "was-running", [](const UpstreamState& aUpstream) { return aUpstream.m_wasRunning; } },
      { "may-eject", [](const UpstreamState& aUpstream) { return aUpstream.m_mayEject; } },
      { "has-left", [](const UpstreamState& aUpstream) { return aUpstream.m_hasLeft; } } },
    { { "start-ramp", StartRamp },
      { "start-ejection", [](UpstreamState& aUpstream) { ++aUpstream.m_ejections; } },
      { "mark-left", [](UpstreamState& aUpstream) { aUpstream.m_hasLeft = true; } },
      { "rejoin",
        [](UpstreamState& aUpstream) {
          ResetFailures(aUpstream);
          aUpstream.m_wasRunning = false;
        } } }
  };
  auto chart = base::StateChart::Parse(base::charts::Upstream(), "charts/upstream.yaml");
  assert(chart);
  auto bound = base::BoundChart<UpstreamState>::Make(std::move(chart.Value()), hooks);
  assert(bound);
  return std::move(bound.Value());
}

} // namespace

const base::BoundChart<UpstreamState>& UpstreamChart()
{
  static const base::BoundChart<UpstreamState> sChart = MakeChart();
  return sChart;
}

bool Fire(UpstreamState& aUpstream, UpstreamEvent aEvent, base::MonotonicTime aNow)
{
  const auto before = aUpstream.m_state;
  const auto event = static_cast<base::EventId>(aEvent);
  if (!UpstreamChart().Fire(aUpstream.m_state, event, aUpstream)) {
    return false;
  }
  if (aUpstream.m_state != before) {
    aUpstream.m_enteredAt = aNow;
  }
  return true;
}

} // namespace jaylane::policy
