// The table of the policies that the bench compares.

#include "heather-bench-decisions/direct_policy.h"
#include "heather-bench-decisions/owner_policy.h"
#include "heather-bench-decisions/policy.h"

namespace heather_bench_decisions {

std::vector<PolicyFactory> Policies(const heatherlever::PoolOptions& options) {
  const auto direct = [](DirectPolicy::Choice choice) {
    return [choice](PoolSimulation& simulation, std::uint64_t seed) {
      return std::make_unique<DirectPolicy>(simulation, choice, seed);
    };
  };
  return {
      {"ours",
       [options](PoolSimulation& simulation, std::uint64_t seed) {
         return std::make_unique<OwnerPolicy>(simulation, options, seed);
       }},
      {"naive", direct(DirectPolicy::Choice::kRandom)},
      {"power-of-two", direct(DirectPolicy::Choice::kPowerOfTwo)},
  };
}

}  // namespace heather_bench_decisions
