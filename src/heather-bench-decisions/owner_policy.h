#ifndef HEATHER_BENCH_DECISIONS_OWNER_POLICY_H_
#define HEATHER_BENCH_DECISIONS_OWNER_POLICY_H_

#include <memory>
#include <optional>
#include <unordered_map>

#include "heather-bench-decisions/policy.h"
#include "heatherlever/pool_action.h"
#include "heatherlever/pool_queue.h"

namespace heather_bench_decisions {

/// The pool's owner: a PoolQueue.
class OwnerPolicy : public Policy {
 public:
  OwnerPolicy(PoolSimulation& simulation,
              const heatherlever::PoolOptions& options,
              std::uint64_t seed);

  void Arrive(const SimRequest& request) override;
  void ServersChanged() override;

 private:
  void Perform();
  void Dispatch(const heatherlever::DispatchAction& action);
  void Finish(const heatherlever::FinishAction& action);
  void AttemptDone(heatherlever::AttemptId attempt,
                   heatherlever::AttemptResult result);
  void ScheduleWakeup();
  void TakeReports();

  PoolSimulation& simulation_;
  std::unique_ptr<heatherlever::PoolQueue> queue_;
  std::unordered_map<heatherlever::RequestId, SimRequest> requests_;
  std::unordered_map<heatherlever::AttemptId, std::size_t> servers_;
  std::optional<heatherlever::Instant> wakeup_;
};

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_OWNER_POLICY_H_
