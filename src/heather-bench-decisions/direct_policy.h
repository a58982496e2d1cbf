#ifndef HEATHER_BENCH_DECISIONS_DIRECT_POLICY_H_
#define HEATHER_BENCH_DECISIONS_DIRECT_POLICY_H_

#include <optional>
#include <random>

#include "heather-bench-decisions/policy.h"
#include "heatherlever/attempt_result.h"

namespace heather_bench_decisions {

/// Sends every request at once to a server of its choice, without ranks,
/// queue or admission; shed ones are sent again after a short while.
class DirectPolicy : public Policy {
 public:
  /// How a server is chosen.
  enum class Choice {
    kRandom,
    /// The one of two random ones that last reported less load.
    kPowerOfTwo,
  };

  DirectPolicy(PoolSimulation& simulation, Choice choice, std::uint64_t seed);

  void Arrive(const SimRequest& request) override;
  void ServersChanged() override {}

 private:
  std::optional<std::size_t> RandomServer();
  std::optional<std::size_t> ChooseServer();
  void Send(const SimRequest& request, int sheds);
  void Retry(const SimRequest& request, int sheds);

  PoolSimulation& simulation_;
  Choice choice_;
  std::mt19937_64 random_;
  std::uint64_t last_attempt_ = 0;
};

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_DIRECT_POLICY_H_
