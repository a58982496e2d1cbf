#ifndef HEATHERLEVER_POOL_ENGINE_H_
#define HEATHERLEVER_POOL_ENGINE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend_ledger.h"
#include "coalescing_index.h"
#include "heatherlever/attempt_result.h"
#include "heatherlever/pool_action.h"
#include "heatherlever/pool_options.h"
#include "heatherlever/pool_request.h"
#include "heatherlever/pool_summary.h"
#include "pool_attempt.h"
#include "pool_job.h"
#include "pool_timers.h"
#include "ranked_queue.h"
#include "token_budget.h"

namespace heatherlever {

/// The implementation of PoolQueue; see there for the events. The sources are
/// pool_engine.cc (events), pool_admission.cc (arrivals), pool_dispatch.cc
/// (attempts) and pool_finish.cc (ends).
class PoolEngine {
 public:
  PoolEngine(const PoolOptions& options, std::uint64_t seed);

  void SetBackends(const std::vector<BackendSpec>& backends,
                   const std::set<std::string>& draining,
                   Instant now);
  void AdoptPool(const std::vector<BackendReport>& reports,
                 Duration hold,
                 Instant now);
  void ReportLoad(const BackendReport& report);
  bool Submit(const PoolRequest& request, Instant now);
  void MarkReady(RequestId id, Instant now);
  void Cancel(RequestId id, Instant now);
  void AttemptDone(AttemptId id, AttemptResult result, Instant now);
  void Tick(Instant now);
  std::optional<Instant> NextWakeup() const;
  std::vector<PoolAction> TakeActions();
  PoolSummary Summary() const;

 private:
  // Why a request is not admitted.
  struct Refusal {
    FinishReason reason = FinishReason::kTooLate;
    Duration retry_after{0};
  };

  // Events.
  void Advance(Instant now);
  void OnTimer(const PoolTimer& timer, Instant now);
  void OnDeadline(RequestId id, Instant now);
  void OnOverdue(AttemptId id, Instant now);
  void OnQuarantineOver(AttemptId id, Instant now);

  // Arrivals.
  bool TryCoalesce(const PoolRequest& request,
                   const KindQueue& kind,
                   Instant now);
  std::optional<Refusal> CheckAdmission(const PoolRequest& request,
                                        const KindQueue& kind,
                                        Instant now) const;
  bool EnsureQueueCapacity(Rank rank);
  void Enqueue(const PoolRequest& request, KindQueue& kind);
  void AddMember(PoolJob& job, const PoolRequest& request);

  // Attempts.
  void Dispatch(Instant now);
  bool DispatchOne(Instant now);
  bool DispatchRetry(KindQueue& kind, Instant now);
  bool DispatchReady(KindQueue& kind, Instant now);
  bool CannotFinishInTime(const PoolJob& job, Instant now) const;
  void StartAttempt(PoolJob& job, BackendIndex backend, Instant now);
  void Hedge(PoolJob& job, AttemptId overdue, Instant now);
  void CountResult(PoolAttempt& attempt, AttemptResult result, Instant now);
  void ReleaseSlot(AttemptId id, Instant now);
  void RequestCancel(AttemptId id);

  // Ends.
  void ApplyResult(PoolJob& job,
                   AttemptId attempt,
                   AttemptResult result,
                   Instant now);
  bool MayRetry(const PoolJob& job, Instant now);
  void FinishJob(PoolJob& job, RequestOutcome outcome, FinishReason reason);
  void FinishAnswered(PoolJob& job, AttemptId attempt);
  void RemoveJob(PoolJob& job);
  void RemoveFromQueue(PoolJob& job);
  void FinishMember(PoolJob& job, RequestId id, FinishReason reason);
  // The outcome of a job without a response, if it ended now.
  static RequestOutcome OutcomeNow(const PoolJob& job);

  PoolJob* FindJob(RequestId id);

  const PoolOptions options_;
  BackendLedger ledger_;
  RankedQueue queue_;
  CoalescingIndex coalescing_;
  TokenBudget budget_;
  PoolTimers timers_;
  std::unordered_map<JobId, PoolJob> jobs_;
  std::unordered_map<RequestId, JobId> requests_;
  std::unordered_map<AttemptId, PoolAttempt> attempts_;
  JobId next_job_ = 1;
  AttemptId next_attempt_ = 1;
  std::vector<PoolAction> actions_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_ENGINE_H_
