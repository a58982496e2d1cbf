#include "heather-bench-decisions/row.h"

#include <algorithm>

#include "heather-bench-decisions/pool_simulation.h"

namespace heather_bench_decisions {
namespace {

// Seconds of each run whose arrivals are counted.
constexpr double kCountedSeconds = 8;

std::optional<double> Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) {
    return std::nullopt;
  }
  const auto place = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + place, values.end());
  return values[static_cast<std::size_t>(place)];
}

void Add(PoolResult& sum, const PoolResult& pool) {
  for (std::size_t rank = 0; rank < sum.ranks.size(); ++rank) {
    RankResult& total = sum.ranks.at(rank);
    const RankResult& part = pool.ranks.at(rank);
    total.offered += part.offered;
    total.latencies_ms.insert(total.latencies_ms.end(),
                              part.latencies_ms.begin(),
                              part.latencies_ms.end());
  }
  sum.peak_over_slots = std::max(sum.peak_over_slots, pool.peak_over_slots);
  if (pool.drain_s) {
    sum.drain_s = std::max(sum.drain_s.value_or(0), *pool.drain_s);
  }
}

}  // namespace

std::vector<Row> RunRows(const Deployment& deployment,
                         const Scenario& scenario,
                         double load,
                         const PolicyFactory& policy,
                         std::uint64_t seed) {
  PoolResult sum;
  double capacity = 0;
  for (const PoolShape& shape : deployment.pools) {
    PoolSimulation simulation(shape, deployment.one_way, scenario, load, policy,
                              seed);
    Add(sum, simulation.Run());
    capacity += shape.all_slots() * kCountedSeconds /
                std::chrono::duration<double>(kServiceTime).count();
  }
  std::vector<Row> rows;
  for (std::size_t rank = 0; rank < sum.ranks.size(); ++rank) {
    RankResult& result = sum.ranks.at(rank);
    Row row;
    row.deployment = deployment.name;
    row.scenario = scenario.name;
    row.load = load;
    row.policy = policy.name;
    row.rank = heatherlever::kRankNames.at(rank);
    row.p50_ms = Quantile(result.latencies_ms, 0.5);
    row.p99_ms = Quantile(result.latencies_ms, 0.99);
    const auto good = static_cast<double>(result.latencies_ms.size());
    row.goodput_share =
        good / std::max(1.0, static_cast<double>(result.offered));
    row.capacity_share = good / capacity;
    row.peak_over_slots = sum.peak_over_slots;
    row.drain_s = sum.drain_s;
    rows.push_back(row);
  }
  return rows;
}

}  // namespace heather_bench_decisions
