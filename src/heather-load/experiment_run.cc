#include <algorithm>
#include <map>

#include "heather-load/arrival.h"
#include "heather-load/experiment.h"
#include "heather-load/load_run.h"
#include "heather-load/load_table.h"
#include "heather-load/run_check.h"

namespace heather_load {
namespace {

constexpr double kPercent = 100;
constexpr std::int64_t kMicrosPerSecond = 1000000;

// Values of one rank, one for each run.
struct RankSamples {
  std::vector<double> p50_ms;
  std::vector<double> p99_ms;
  std::vector<double> served_percent;
};

struct SettingSamples {
  std::map<heatherlever::Rank, RankSamples> ranks;
  std::vector<SecondCounts> seconds;
  bool promises_kept = true;
};

void CountSecond(const RequestResult& result, SettingSamples& samples) {
  const auto second =
      static_cast<std::size_t>(result.arrival->at.count() / kMicrosPerSecond);
  if (samples.seconds.size() <= second) {
    samples.seconds.resize(second + 1);
  }
  SecondCounts& counts = samples.seconds[second];
  switch (result.result) {
    case ResultClass::kDone:
      ++counts.served;
      break;
    case ResultClass::kNotRun:
      ++counts.refused;
      break;
    case ResultClass::kUnknown:
    case ResultClass::kBroken:
      ++counts.unknown;
      break;
  }
}

void RunOnce(const LoadPlan& plan, SettingSamples& samples) {
  const std::vector<Arrival> arrivals = MakeArrivals(plan);
  const std::vector<RequestResult> results = RunLoad(plan, arrivals);
  for (const RequestResult& result : results) {
    CountSecond(result, samples);
  }
  for (const auto& [rank, row] : MakeRankRows(plan, results)) {
    RankSamples& rank_samples = samples.ranks[rank];
    rank_samples.p50_ms.push_back(row.p50_ms);
    rank_samples.p99_ms.push_back(row.p99_ms);
    rank_samples.served_percent.push_back(static_cast<double>(row.done) *
                                          kPercent /
                                          static_cast<double>(row.sent));
  }
  samples.promises_kept =
      samples.promises_kept &&
      PromisesKept(MakeRows(plan, results), CheckRuns(plan, results));
}

SettingResult Summarize(const std::string& name,
                        int runs,
                        const SettingSamples& samples) {
  SettingResult result;
  result.name = name;
  result.runs = runs;
  result.seconds = samples.seconds;
  result.promises_kept = samples.promises_kept;
  for (const auto& [rank, values] : samples.ranks) {
    result.ranks.push_back({std::string(RankName(rank)),
                            ConfidenceInterval::Of(values.p50_ms),
                            ConfidenceInterval::Of(values.p99_ms),
                            ConfidenceInterval::Of(values.served_percent)});
  }
  return result;
}

}  // namespace

std::vector<SettingResult> RunExperiment(const Experiment& experiment) {
  std::vector<SettingSamples> samples(experiment.settings.size());
  for (int run = 0; run < experiment.runs; ++run) {
    for (std::size_t i = 0; i < samples.size(); ++i) {
      LoadPlan plan = experiment.settings[i].plan;
      plan.seed += static_cast<std::uint64_t>(run);
      RunOnce(plan, samples[i]);
    }
  }
  std::vector<SettingResult> results;
  for (std::size_t i = 0; i < samples.size(); ++i) {
    results.push_back(
        Summarize(experiment.settings[i].name, experiment.runs, samples[i]));
  }
  return results;
}

}  // namespace heather_load
