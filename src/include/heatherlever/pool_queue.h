#ifndef HEATHERLEVER_POOL_QUEUE_H_
#define HEATHERLEVER_POOL_QUEUE_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/attempt_result.h"
#include "heatherlever/backend_report.h"
#include "heatherlever/backend_spec.h"
#include "heatherlever/instant.h"
#include "heatherlever/pool_action.h"
#include "heatherlever/pool_options.h"
#include "heatherlever/pool_request.h"
#include "heatherlever/pool_summary.h"

namespace heatherlever {

class PoolEngine;

/// The queue and the slot ledger of one pool, run by the one entry host that
/// owns it. A request is bound to a backend server only when a slot is free.
///
/// Each event is passed with its instant; instants must not decrease. The
/// resulting actions are returned by TakeActions. The same events and the same
/// seed give the same actions.
class PoolQueue {
 public:
  /// Fails with kInvalidArgument if an option is out of range.
  static absl::StatusOr<std::unique_ptr<PoolQueue>> Create(
      const PoolOptions& options,
      std::uint64_t seed);
  ~PoolQueue();
  PoolQueue(const PoolQueue&) = delete;
  PoolQueue& operator=(const PoolQueue&) = delete;

  /// Replaces the pool's servers. Those named in `draining`, and those no
  /// longer listed, get no new work from now on. Servers of the first call
  /// count as warm, later ones and those back from a drain as cold.
  void SetBackends(const std::vector<BackendSpec>& backends,
                   const std::set<std::string>& draining,
                   Instant now);

  /// Takes the pool over from another owner, after SetBackends. The reported
  /// requests in flight hold their slots until `hold` has passed; a server
  /// without a report counts as full for that time. Every server starts with a
  /// reduced limit (PoolOptions::adopted_share).
  void AdoptPool(const std::vector<BackendReport>& reports,
                 Duration hold,
                 Instant now);

  /// Uses a load report as a hint; see BackendReport.
  void ReportLoad(const BackendReport& report);

  /// Queues or refuses a request; a refusal is a FinishAction. Returns false,
  /// with no action, if the id is in use.
  bool Submit(const PoolRequest& request, Instant now);

  /// Lets a request that was submitted as not ready be dispatched. No effect
  /// if it has ended.
  void MarkReady(RequestId id, Instant now);

  /// Withdraws a request. One that waits finishes as not run at once; one in
  /// flight finishes when its attempt's end is known, or at its deadline.
  void Cancel(RequestId id, Instant now);

  /// Reports how an attempt ended. After kFailed or kTimeout, a second report
  /// that the server has ended it frees the slot early.
  void AttemptDone(AttemptId attempt, AttemptResult result, Instant now);

  /// Processes everything that is due by `now`.
  void Tick(Instant now);

  /// Latest instant for the next call of Tick; nullopt if nothing is pending.
  std::optional<Instant> NextWakeup() const;

  /// The actions since the last call, in order.
  std::vector<PoolAction> TakeActions();

  PoolSummary Summary() const;

 private:
  explicit PoolQueue(std::unique_ptr<PoolEngine> engine);

  std::unique_ptr<PoolEngine> engine_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_QUEUE_H_
