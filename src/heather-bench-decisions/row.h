#ifndef HEATHER_BENCH_DECISIONS_ROW_H_
#define HEATHER_BENCH_DECISIONS_ROW_H_

#include <optional>
#include <string>
#include <vector>

#include "heather-bench-decisions/deployment.h"
#include "heather-bench-decisions/policy.h"
#include "heather-bench-decisions/scenario.h"

namespace heather_bench_decisions {

/// What one rank got in one deployment, scenario, load and policy.
struct Row {
  std::string deployment;
  std::string scenario;
  /// Offered work as a multiple of the slots' capacity.
  double load = 0;
  std::string policy;
  std::string rank;
  /// Latency of the requests answered in time; nothing if none was.
  std::optional<double> p50_ms;
  std::optional<double> p99_ms;
  /// Requests answered in time, as a share of those offered.
  double goodput_share = 0;
  /// Most requests beyond the slots of one server that were sent, and neither
  /// answered nor past their deadline, at the same time.
  int peak_over_slots = 0;
  /// Shifts beyond their cap; nothing, as no shifts are simulated.
  std::optional<int> cap_violations;
  /// Seconds from a drain's announcement to the last request sent to the
  /// server; nothing if none drains.
  std::optional<double> drain_s;
  /// Requests answered in time, as a share of the slots' capacity.
  double capacity_share = 0;
};

/// Runs every pool of a deployment and adds up what each rank got.
std::vector<Row> RunRows(const Deployment& deployment,
                         const Scenario& scenario,
                         double load,
                         const PolicyFactory& policy,
                         std::uint64_t seed);

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_ROW_H_
