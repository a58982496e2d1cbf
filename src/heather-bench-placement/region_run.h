#ifndef HEATHER_BENCH_PLACEMENT_REGION_RUN_H_
#define HEATHER_BENCH_PLACEMENT_REGION_RUN_H_

#include <cstdint>

#include "heather-bench-placement/policy.h"
#include "heather-bench-placement/traffic_case.h"

namespace heather_bench_placement {

/// What one run of a policy under a case gave.
struct RunResult {
  std::int64_t requests = 0;
  std::int64_t moved = 0;
  std::int64_t refused = 0;
  /// Sent to a dead or a fully drained region.
  std::int64_t lost = 0;
  /// Answered within the deadline.
  std::int64_t in_time = 0;
  /// Requests after which moved / requests was above the cap, over all hosts,
  /// or at one host since the start of its window.
  std::int64_t cap_violations = 0;
  double mean_ms = 0;
  double p99_ms = 0;
  /// Largest number of requests running or waiting in a region, over its slots.
  double peak_load = 0;
};

/// Runs a policy at every host in virtual time. Equal arguments give equal
/// results.
RunResult RunRegions(const PolicyEntry& policy,
                     TrafficCase traffic_case,
                     std::uint64_t seed);

}  // namespace heather_bench_placement

#endif  // HEATHER_BENCH_PLACEMENT_REGION_RUN_H_
