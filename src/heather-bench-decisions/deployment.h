#ifndef HEATHER_BENCH_DECISIONS_DEPLOYMENT_H_
#define HEATHER_BENCH_DECISIONS_DEPLOYMENT_H_

#include <array>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/rank.h"

namespace heather_bench_decisions {

/// Mean service time of a warm backend server.
inline constexpr heatherlever::Duration kServiceTime =
    std::chrono::milliseconds(40);

/// The backend servers of one service in one region.
struct PoolShape {
  std::string service;
  int servers = 0;
  int slots = 0;

  int all_slots() const { return servers * slots; }
};

/// One region of a deployment: a third of its backend servers.
struct Deployment {
  std::string name;
  /// One-way delay between entry hosts and backend servers.
  heatherlever::Duration one_way{0};
  std::vector<PoolShape> pools;
};

/// The traffic of one rank. Every pool gets all three ranks.
struct RankTraffic {
  std::string kind;
  /// Share of the usual traffic.
  double share = 0;
  double floor_share = 0;
  heatherlever::Duration deadline{0};
  bool idempotent = false;
};

/// Traffic by rank.
extern const std::array<RankTraffic, heatherlever::kRankCount> kTraffic;

/// The deployments of the brief.
const std::vector<Deployment>& Deployments();

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_DEPLOYMENT_H_
