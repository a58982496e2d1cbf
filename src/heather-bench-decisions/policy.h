#ifndef HEATHER_BENCH_DECISIONS_POLICY_H_
#define HEATHER_BENCH_DECISIONS_POLICY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/pool_options.h"
#include "heatherlever/rank.h"

namespace heather_bench_decisions {

class PoolSimulation;

/// A request of the simulation.
struct SimRequest {
  std::uint64_t id = 0;
  heatherlever::Rank rank = heatherlever::Rank::kThird;
  int caller = 0;
  heatherlever::Instant arrived{0};
  heatherlever::Instant deadline{0};
};

/// Decides which server runs which request, and when.
class Policy {
 public:
  virtual ~Policy() = default;

  /// A request arrives. The policy calls PoolSimulation::Answered for it at
  /// most once.
  virtual void Arrive(const SimRequest& request) = 0;

  /// The set of servers that take part, or of those that drain, changed.
  virtual void ServersChanged() = 0;
};

/// A named way to make a policy.
struct PolicyFactory {
  std::string name;
  std::function<std::unique_ptr<Policy>(PoolSimulation&, std::uint64_t seed)>
      make;
};

/// ours, naive and power-of-two. The options are for ours.
std::vector<PolicyFactory> Policies(const heatherlever::PoolOptions& options);

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_POLICY_H_
