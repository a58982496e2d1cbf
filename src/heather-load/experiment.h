#ifndef HEATHER_LOAD_EXPERIMENT_H_
#define HEATHER_LOAD_EXPERIMENT_H_

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "heather-load/confidence_interval.h"
#include "heather-load/load_plan.h"

namespace heather_load {

/// One or two loads, side by side, each run several times.
struct Experiment {
  struct Setting {
    std::string name;
    LoadPlan plan;
  };
  std::vector<Setting> settings;
  /// Runs of each setting; run n has the seed of its load plus n.
  int runs = 0;

  /// Reads an experiment from YAML; load files are named relative to it. An
  /// InvalidArgument status names file, line, what was expected and found.
  static absl::StatusOr<Experiment> Load(const std::string& path);
};

/// The figures of one rank of one setting, over its runs.
struct RankFigures {
  std::string rank;
  ConfidenceInterval p50_ms;
  ConfidenceInterval p99_ms;
  /// Requests done of those sent, in percent.
  ConfidenceInterval served_percent;
};

/// Requests of one second of the load, over all runs of a setting.
struct SecondCounts {
  std::size_t served = 0;
  std::size_t refused = 0;
  /// Unknown and broken ones.
  std::size_t unknown = 0;
};

/// What one setting gave.
struct SettingResult {
  std::string name;
  int runs = 0;
  std::vector<RankFigures> ranks;
  /// By the second in which the requests arrived.
  std::vector<SecondCounts> seconds;
  /// Whether every run kept every promise.
  bool promises_kept = true;
};

/// Runs the settings in turn, so that a slow change of the machine touches
/// both alike.
std::vector<SettingResult> RunExperiment(const Experiment& experiment);

}  // namespace heather_load

#endif  // HEATHER_LOAD_EXPERIMENT_H_
