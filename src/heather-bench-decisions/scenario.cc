#include "heather-bench-decisions/scenario.h"

#include <algorithm>

#include "heather-bench-decisions/deployment.h"
#include "heather-bench-decisions/pool_simulation.h"

namespace heather_bench_decisions {
namespace {

// Load before a flood.
constexpr double kUsualLoad = 0.7;

void KillServer(PoolSimulation& simulation) {
  simulation.backend(0).behaviour.dead = true;
}

void DrainServer(PoolSimulation& simulation) {
  simulation.AnnounceDrain(0);
}

void AddColdServers(PoolSimulation& simulation) {
  simulation.AddRemainingServers();
}

// One server claims to be idle, another to be unhealthy.
void LieInReports(PoolSimulation& simulation) {
  simulation.SetLie(0, true);
  simulation.SetLie(1, false);
}

// One server runs half of what it declares; another slows down when crowded.
void DegradeServers(PoolSimulation& simulation) {
  FakeBackend& shedding = simulation.backend(0);
  shedding.behaviour.real_slots = std::max(1, shedding.slots() / 2);
  FakeBackend& slowing = simulation.backend(1);
  slowing.behaviour.crowded_above = std::max(1, slowing.slots() / 2);
  slowing.behaviour.crowded_slowness = 3;
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios = {
      {"healthy", {}, 1, nullptr, nullptr},
      {"dead-server", {}, 1, nullptr, KillServer},
      {"drain", {}, 1, nullptr, DrainServer},
      {"cold-move", {}, 0.67, nullptr, AddColdServers},
      {"lying-reports", {}, 1, LieInReports, nullptr},
      {"degraded", {}, 1, nullptr, DegradeServers},
      {"flood-lowest", {false, false, true}, 1, nullptr, nullptr},
      {"flood-highest", {true, false, false}, 1, nullptr, nullptr},
      {"flood-both", {true, false, true}, 1, nullptr, nullptr},
  };
  return scenarios;
}

std::array<double, heatherlever::kRankCount>
ArrivalRates(const Scenario& scenario, double capacity, double load) {
  std::array<double, heatherlever::kRankCount> rates{};
  const auto flooded =
      std::count(scenario.flooded.begin(), scenario.flooded.end(), true);
  const double usual = flooded == 0 ? load : std::min(load, kUsualLoad);
  for (std::size_t rank = 0; rank < rates.size(); ++rank) {
    rates.at(rank) = capacity * usual * kTraffic.at(rank).share;
    if (scenario.flooded.at(rank)) {
      rates.at(rank) +=
          capacity * (load - usual) / static_cast<double>(flooded);
    }
  }
  return rates;
}

}  // namespace heather_bench_decisions
