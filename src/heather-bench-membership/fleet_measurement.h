#ifndef HEATHER_BENCH_MEMBERSHIP_FLEET_MEASUREMENT_H_
#define HEATHER_BENCH_MEMBERSHIP_FLEET_MEASUREMENT_H_

#include <cstdint>

#include "heather-bench-membership/transport_overhead.h"
#include "heatherlever/instant.h"

namespace heather_bench_membership {

/// What is measured, and how.
struct FleetSettings {
  int hosts = 20;
  int regions = 3;
  /// Length of the measured window, in virtual time.
  heatherlever::Duration window{60'000'000};
  std::uint64_t seed = 1;
};

/// Figures of one fleet. Bytes are sent and received ones together; times are
/// virtual.
struct FleetFigures {
  int hosts = 0;
  int regions = 0;
  double calls_per_second = 0;
  double message_bytes_per_second = 0;
  double total_bytes_per_second = 0;
  /// Of the host with the highest total.
  double max_total_bytes_per_second = 0;
  /// Processor time of the whole program a host and second of virtual time.
  double cpu_us_per_second = 0;
  /// Until the last host knew.
  heatherlever::Duration configuration_spread{};
  heatherlever::Duration leave_spread{};
  /// From a kill until the host that watches suspected it, and until all hosts
  /// held it for dead.
  heatherlever::Duration watched_suspicion{};
  heatherlever::Duration death_spread{};
};

/// Runs a fleet in virtual time: a warm-up, the window, then a new
/// configuration, a leave and a kill. Within the window each region publishes
/// the load of three pools every 5 s, a configuration version is published
/// every 72 s (1,200 a day), and one host restarts.
FleetFigures MeasureFleet(const FleetSettings& settings,
                          const TransportOverhead& overhead);

}  // namespace heather_bench_membership

#endif  // HEATHER_BENCH_MEMBERSHIP_FLEET_MEASUREMENT_H_
