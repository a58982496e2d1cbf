// The targets that the bench's rows are held against.

#include <algorithm>
#include <functional>
#include <iomanip>

#include "heather-bench-decisions/report.h"

namespace heather_bench_decisions {
namespace {

constexpr double kFloodLoad = 5;
constexpr double kUsualLoad = 0.7;
constexpr double kMaxSlowdown = 1.5;
constexpr double kFloorTolerance = 0.1;
constexpr double kMaxDrainSeconds = 3;
constexpr double kFullGoodput = 0.9;

using Lookup = std::function<
    const Row&(const std::string& scenario, double load, std::size_t rank)>;

struct Target {
  std::string name;
  double measured = 0;
  bool met = false;
};

Lookup OursIn(const std::vector<Row>& rows, const std::string& deployment) {
  return [&rows, deployment](const std::string& scenario, double load,
                             std::size_t rank) -> const Row& {
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const Row& row) {
          return row.deployment == deployment && row.policy == "ours" &&
                 row.scenario == scenario && row.load == load &&
                 row.rank == heatherlever::kRankNames.at(rank);
        });
    return *found;
  };
}

Target SlowdownInFlood(const Lookup& row) {
  const double usual = row("healthy", kUsualLoad, 0).p99_ms.value_or(0);
  const double flood = row("flood-lowest", kFloodLoad, 0).p99_ms.value_or(1e9);
  const double slowdown = flood / usual;
  return {"first rank's p99 in a 5x flood of others / at 0.7", slowdown,
          slowdown <= kMaxSlowdown};
}

Target FullGoodput(const Lookup& row) {
  double sum = 0;
  for (std::size_t rank = 0; rank < heatherlever::kRankCount; ++rank) {
    sum += row("flood-highest", kFloodLoad, rank).capacity_share;
  }
  return {"goodput of the slots in a 5x flood of the first rank", sum,
          sum >= kFullGoodput};
}

// Goodput of a lower rank against its floor, or its demand if that is less.
Target Floor(const Lookup& row, std::size_t rank) {
  const RankTraffic& traffic = kTraffic.at(rank);
  const double entitled =
      std::min(traffic.floor_share, kUsualLoad * traffic.share);
  const double kept =
      row("flood-highest", kFloodLoad, rank).capacity_share / entitled;
  return {"floor kept by the " +
              std::string(heatherlever::kRankNames.at(rank)) +
              " rank in a 5x flood of the first",
          kept, kept >= 1 - kFloorTolerance};
}

void Print(const std::string& deployment,
           const Target& target,
           std::ostream& out) {
  out << std::left << std::setw(11) << deployment << std::setw(58)
      << target.name << std::right << std::setw(8) << std::fixed
      << std::setprecision(3) << target.measured
      << (target.met ? "  met" : "  MISSED") << "\n";
}

Target PeakOverSlots(const std::vector<Row>& rows,
                     const std::string& deployment) {
  int peak = 0;
  for (const Row& row : rows) {
    if (row.deployment == deployment && row.policy == "ours") {
      peak = std::max(peak, row.peak_over_slots);
    }
  }
  return {"peak over slots, all scenarios", static_cast<double>(peak),
          peak == 0};
}

Target Drain(const std::vector<Row>& rows, const std::string& deployment) {
  double longest = 0;
  for (const Row& row : rows) {
    if (row.deployment == deployment && row.policy == "ours") {
      longest = std::max(longest, row.drain_s.value_or(0));
    }
  }
  return {"seconds until a drained server gets no new work", longest,
          longest <= kMaxDrainSeconds};
}

}  // namespace

void PrintTargets(const std::vector<Row>& rows, std::ostream& out) {
  for (const Deployment& deployment : Deployments()) {
    const Lookup row = OursIn(rows, deployment.name);
    Print(deployment.name, SlowdownInFlood(row), out);
    Print(deployment.name, FullGoodput(row), out);
    Print(deployment.name, Floor(row, 1), out);
    Print(deployment.name, Floor(row, 2), out);
    Print(deployment.name, PeakOverSlots(rows, deployment.name), out);
    Print(deployment.name, Drain(rows, deployment.name), out);
  }
}

}  // namespace heather_bench_decisions
