#ifndef HEATHER_BENCH_DECISIONS_SCENARIO_H_
#define HEATHER_BENCH_DECISIONS_SCENARIO_H_

#include <array>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/rank.h"

namespace heather_bench_decisions {

class PoolSimulation;

/// Time at which a scenario's event happens.
inline constexpr heatherlever::Instant kEventTime = std::chrono::seconds(4);

/// What happens to a pool during one run.
struct Scenario {
  std::string name;
  /// Ranks whose traffic grows beyond the usual load; if none, all grow.
  std::array<bool, heatherlever::kRankCount> flooded{};
  /// Share of the servers that take part from the start.
  double servers_at_start = 1;
  /// Called at the start; may be null.
  void (*prepare)(PoolSimulation&) = nullptr;
  /// Called at kEventTime; may be null.
  void (*event)(PoolSimulation&) = nullptr;
};

const std::vector<Scenario>& Scenarios();

/// Arrivals per second by rank, of a pool that can serve `capacity` requests a
/// second, at `load` times that.
std::array<double, heatherlever::kRankCount>
ArrivalRates(const Scenario& scenario, double capacity, double load);

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_SCENARIO_H_
