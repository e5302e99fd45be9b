// Simulates the experiments of a YAML file with each Scheduler: ServiceBalancer per VM, per region,
// and a greedy scheduler with full knowledge. Prints a table; --svg=FILE draws a bar chart.

#include "SteeringModel.h"

#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <yaml-cpp/yaml.h>

namespace {

using namespace jaylane::policy;
using namespace jaylane::policy::sim;
using std::chrono::milliseconds;

struct Experiment
{
  std::string m_name;
  ModelOptions m_options;
  int m_seeds = 3;
  /// Whether only Scheduler::PerVm runs; the others take minutes with hundreds of upstreams.
  bool m_runsOnlyVms = false;
};

struct Row
{
  std::string m_name;
  std::vector<std::pair<const char*, ModelResult>> m_results;
};

void Read(const YAML::Node& aNode, const char* aKey, auto& aValue)
{
  if (aNode[aKey]) {
    aValue = aNode[aKey].as<std::decay_t<decltype(aValue)>>();
  }
}

template<typename Duration>
void ReadMillis(const YAML::Node& aNode, const char* aKey, Duration& aValue)
{
  if (aNode[aKey]) {
    aValue = milliseconds{ aNode[aKey].as<std::int64_t>() };
  }
}

void ReadRegions(const YAML::Node& aNode, ModelOptions& aOptions)
{
  if (!aNode["regions"]) {
    return;
  }
  aOptions.m_regions.clear();
  for (const YAML::Node& node : aNode["regions"]) {
    ModelOptions::Region region;
    Read(node, "upstreams", region.m_upstreams);
    Read(node, "vms", region.m_vms);
    Read(node, "per_second", region.m_requestsPerSecond);
    Read(node, "phase", region.m_wavePhase);
    aOptions.m_regions.push_back(region);
  }
}

void ReadBalancer(const YAML::Node& aNode, BalancerOptions& aOptions)
{
  Read(aNode, "wait_limit", aOptions.m_maxQueueWaitRatio);
  Read(aNode, "overload_wait_limit", aOptions.m_overloadMaxQueueWaitRatio);
  Read(aNode, "overload_from", aOptions.m_overloadMinRejectionRate);
  Read(aNode, "overload_full", aOptions.m_overloadFullRejectionRate);
  Read(aNode, "preferred_candidates", aOptions.m_preferredCandidates);
  Read(aNode, "other_candidates", aOptions.m_fallbackCandidates);
  Read(aNode, "overflow_share", aOptions.m_maxOverflowShare);
  Read(aNode, "move_away_above", aOptions.m_shiftOutUtilization);
  Read(aNode, "move_back_below", aOptions.m_shiftBackUtilization);
  ReadMillis(aNode, "report_life_ms", aOptions.m_reportDecayTime);
  Read(aNode, "spill_above", aOptions.m_spillUtilization);
  Read(aNode, "return_below", aOptions.m_returnUtilization);
  Read(aNode, "spill_ratio", aOptions.m_spillRatio);
  Read(aNode, "return_ratio", aOptions.m_returnRatio);
  Read(aNode, "told_weight", aOptions.m_toldLoadAlpha);
  Read(aNode, "spill_step", aOptions.m_spillStep);
  ReadMillis(aNode, "utilization_ms", aOptions.m_utilizationTime);
  ReadMillis(aNode, "told_key_ms", aOptions.m_toldKeyMemory);
}

/// Reads the keys that the node has; other options keep their values.
void ReadExperiment(const YAML::Node& aNode, Experiment& aExperiment)
{
  ModelOptions& options = aExperiment.m_options;
  Read(aNode, "name", aExperiment.m_name);
  Read(aNode, "seeds", aExperiment.m_seeds);
  Read(aNode, "only_vms", aExperiment.m_runsOnlyVms);
  ReadRegions(aNode, options);
  Read(aNode, "slots", options.m_slots);
  Read(aNode, "queue", options.m_queueCapacity);
  Read(aNode, "keys", options.m_keyCount);
  Read(aNode, "shared_keys", options.m_sharesKeys);
  Read(aNode, "observations", options.m_announcedObservations);
  Read(aNode, "recipients", options.m_announceRecipients);
  Read(aNode, "slow_share", options.m_slowShare);
  Read(aNode, "slow_factor", options.m_slowFactor);
  Read(aNode, "keys_kept", options.m_maxServedKeys);
  ReadMillis(aNode, "known_ms", options.m_warmServiceTime);
  ReadMillis(aNode, "unknown_ms", options.m_coldServiceTime);
  Read(aNode, "swing", options.m_waveAmplitude);
  Read(aNode, "burst", options.m_burstFactor);
  ReadMillis(aNode, "burst_at_ms", options.m_burstAt);
  ReadMillis(aNode, "burst_ms", options.m_burstLength);
  Read(aNode, "crash_share", options.m_crashShare);
  ReadMillis(aNode, "target_ms", options.m_targetLatency);
  ReadMillis(aNode, "timeout_ms", options.m_timeout);
  ReadMillis(aNode, "deadline_ms", options.m_deadline);
  ReadMillis(aNode, "length_ms", options.m_duration);
  if (aNode["balancer"]) {
    ReadBalancer(aNode["balancer"], options.m_balancer);
  }
}

/// Runs an experiment with each seed.
/// @return sums over the seeds; averages for the quantiles and the worst window.
ModelResult RunSeeds(const Experiment& aExperiment, Scheduler aScheduler)
{
  ModelResult sum;
  sum.m_worstWindow = 0;
  for (int seed = 1; seed <= aExperiment.m_seeds; ++seed) {
    ModelOptions options = aExperiment.m_options;
    options.m_seed = static_cast<std::uint64_t>(seed);
    const ModelResult result = SteeringModel(options, aScheduler).Run();
    sum.m_requests += result.m_requests;
    sum.m_onTime += result.m_onTime;
    sum.m_late += result.m_late;
    sum.m_rejected += result.m_rejected;
    sum.m_timedOut += result.m_timedOut;
    sum.m_runs += result.m_runs;
    sum.m_coldRuns += result.m_coldRuns;
    sum.m_sends += result.m_sends;
    sum.m_fullRejections += result.m_fullRejections;
    sum.m_busiestLoad += result.m_busiestLoad / aExperiment.m_seeds;
    sum.m_regionMove = std::max(sum.m_regionMove, result.m_regionMove);
    sum.m_upstreamsPerVm += result.m_upstreamsPerVm / aExperiment.m_seeds;
    sum.m_p50Ms += result.m_p50Ms / aExperiment.m_seeds;
    sum.m_p99Ms += result.m_p99Ms / aExperiment.m_seeds;
    sum.m_worstWindow += result.m_worstWindow / aExperiment.m_seeds;
  }
  return sum;
}

void Print(const Row& aRow)
{
  const double best = aRow.m_results.back().second.OnTimeShare();
  for (const auto& [scheduler, result] : aRow.m_results) {
    fmt::print(
      "{:<28}{:<16}{:>9}{:>10.3f}{:>10.3f}{:>10.3f}{:>10.3f}{:>9.0f}{:>9.0f}{:>9.3f}{:>9.3f}"
      "{:>9.3f}{:>9.2f}{:>9.3f}{:>9.0f}\n",
      aRow.m_name,
      scheduler,
      result.m_requests,
      result.OnTimeShare(),
      result.LateShare(),
      result.UnservedShare(),
      result.ColdRunShare(),
      result.m_p50Ms,
      result.m_p99Ms,
      result.m_worstWindow,
      best > 0 ? result.OnTimeShare() / best : 0,
      result.FullRejectionShare(),
      result.m_busiestLoad,
      result.m_regionMove,
      result.m_upstreamsPerVm);
  }
}

/// Writes a bar chart of OnTimeShare() as SVG, with a group of bars per experiment.
void WriteSvg(const std::string& aFile, const std::vector<Row>& aRows)
{
  constexpr int kBarHeight = 16;
  constexpr int kGap = 14;
  constexpr int kLabelWidth = 260;
  constexpr int kMaxBarWidth = 400;
  constexpr const char* kColors[] = { "#4878a8", "#78a878", "#c0c0c0" };
  std::ofstream file(aFile);
  int y = kGap;
  std::string body;
  for (const Row& row : aRows) {
    body += fmt::format("<text x='8' y='{}'>{}</text>\n", y + kBarHeight, row.m_name);
    std::size_t color = 0;
    for (const auto& [scheduler, result] : row.m_results) {
      const auto width = static_cast<int>(kMaxBarWidth * result.OnTimeShare());
      body += fmt::format("<rect x='{}' y='{}' width='{}' height='{}' fill='{}'/>\n"
                          "<text x='{}' y='{}'>{} {:.3f}</text>\n",
                          kLabelWidth,
                          y,
                          width,
                          kBarHeight - 2,
                          kColors[color++ % 3],
                          kLabelWidth + width + 6,
                          y + kBarHeight - 4,
                          scheduler,
                          result.OnTimeShare());
      y += kBarHeight;
    }
    y += kGap;
  }
  file << fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
                      "font-family='sans-serif' font-size='12'>\n{}</svg>\n",
                      kLabelWidth + kMaxBarWidth + 180,
                      y,
                      body);
}

int RunExperiments(const std::string& aFile, const std::string& aSvg)
{
  std::vector<Row> rows;
  fmt::print("{:<28}{:<16}{:>9}{:>10}{:>10}{:>10}{:>10}{:>9}{:>9}{:>9}{:>9}"
             "{:>9}{:>9}{:>9}{:>9}\n",
             "experiment",
             "scheduler",
             "requests",
             "in target",
             "late",
             "unserved",
             "unknown",
             "p50 ms",
             "p99 ms",
             "worst 2s",
             "of best",
             "full",
             "busiest",
             "moved",
             "ups/VM");
  const YAML::Node document = YAML::LoadFile(aFile);
  Experiment defaults;
  ReadExperiment(document["defaults"], defaults);
  for (const YAML::Node& node : document["experiments"]) {
    Experiment experiment = defaults;
    ReadExperiment(node, experiment);
    Row row{ experiment.m_name, {} };
    row.m_results.emplace_back("each VM", RunSeeds(experiment, Scheduler::PerVm));
    if (!experiment.m_runsOnlyVms) {
      row.m_results.emplace_back("one a region", RunSeeds(experiment, Scheduler::PerRegion));
      row.m_results.emplace_back("full knowledge", RunSeeds(experiment, Scheduler::FullKnowledge));
    }
    Print(row);
    rows.push_back(std::move(row));
  }
  if (!aSvg.empty()) {
    WriteSvg(aSvg, rows);
  }
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::string svg = aCount > 2 ? aArguments[2] : "";
  if (aCount < 2 || (!svg.empty() && !svg.starts_with("--svg="))) {
    fmt::print(stderr, "usage: steering_sim EXPERIMENTS.yaml [--svg=FILE]\n");
    return 2;
  }
  try {
    return RunExperiments(aArguments[1], svg.empty() ? svg : svg.substr(6));
  } catch (const YAML::Exception& error) {
    fmt::print(stderr, "steering_sim: {}: {}\n", aArguments[1], error.what());
    return 2;
  }
}
