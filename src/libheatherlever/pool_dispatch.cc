// Attempts of a PoolEngine: dispatch, hedges, results, slots.

#include <utility>

#include "pool_engine.h"

namespace heatherlever {
namespace {

Duration Times(double factor, Duration span) {
  return Duration(
      static_cast<std::int64_t>(factor * static_cast<double>(span.count())));
}

}  // namespace

void PoolEngine::Dispatch(Instant now) {
  while (ledger_.free_slots() > 0 && DispatchOne(now)) {
  }
}

bool PoolEngine::DispatchOne(Instant now) {
  queue_.Accrue(ledger_.usable_slots(), now);
  for (KindQueue* kind : queue_.ServingOrder(now)) {
    if (DispatchRetry(*kind, now) || DispatchReady(*kind, now)) {
      queue_.OnServed(*kind);
      return true;
    }
  }
  return false;
}

// A retry may have to wait for a server that it has not tried. Later retries
// are dispatched before it in that case.
bool PoolEngine::DispatchRetry(KindQueue& kind, Instant now) {
  for (std::size_t i = 0; i < kind.retries.size();) {
    PoolJob& job = jobs_.at(kind.retries[i]);
    const auto position = kind.retries.begin() + static_cast<std::ptrdiff_t>(i);
    if (CannotFinishInTime(job, now)) {
      FinishJob(job, OutcomeNow(job), FinishReason::kDeadline);
      continue;
    }
    if (const std::optional<BackendIndex> backend =
            ledger_.Pick(job.tried, job.idempotent)) {
      kind.retries.erase(position);
      StartAttempt(job, *backend, now);
      return true;
    }
    ++i;
  }
  return false;
}

bool PoolEngine::DispatchReady(KindQueue& kind, Instant now) {
  const std::optional<BackendIndex> backend = ledger_.Pick({}, kind.idempotent);
  if (!backend) {
    return false;
  }
  const bool overloaded = options_.queue_order == QueueOrder::kAdaptiveLifo &&
                          kind.BackloggedFor(options_.overload_after, now);
  while (const std::optional<JobId> next =
             kind.ready.Pop(overloaded && kind.idempotent)) {
    PoolJob& job = jobs_.at(*next);
    job.queued = false;
    if (CannotFinishInTime(job, now)) {
      FinishJob(job, OutcomeNow(job), FinishReason::kDeadline);
      continue;
    }
    StartAttempt(job, *backend, now);
    return true;
  }
  return false;
}

// Whether even an attempt of average service time would miss the deadline.
bool PoolEngine::CannotFinishInTime(const PoolJob& job, Instant now) const {
  return now + job.kind->service_time() > job.deadline;
}

void PoolEngine::StartAttempt(PoolJob& job, BackendIndex backend, Instant now) {
  const AttemptId id = next_attempt_++;
  attempts_[id] = PoolAttempt{job.id, job.kind, backend, now};
  job.queued = false;
  job.attempts.push_back(id);
  job.tried.push_back(backend);
  job.kind->OnDispatch(now);
  ledger_.Take(backend);
  timers_.Add(
      {now + Times(options_.overdue_service_times, job.kind->service_time()),
       PoolTimer::Purpose::kOverdue, id});
  timers_.Add({job.deadline + options_.slot_quarantine,
               PoolTimer::Purpose::kQuarantine, id});
  actions_.emplace_back(DispatchAction{job.members.front().id, id,
                                       ledger_.at(backend).name, job.deadline});
}

void PoolEngine::Hedge(PoolJob& job, AttemptId overdue, Instant now) {
  const bool allowed =
      job.idempotent && !job.cancelled && job.attempts.size() == 1 &&
      job.tried.size() < static_cast<std::size_t>(options_.max_attempts) &&
      !CannotFinishInTime(job, now);
  if (!allowed) {
    return;
  }
  const std::optional<BackendIndex> backend = ledger_.Pick(job.tried, true);
  if (backend && budget_.Withdraw()) {
    StartAttempt(job, *backend, now);
    return;
  }
  timers_.Add(
      {now + job.kind->service_time(), PoolTimer::Purpose::kOverdue, overdue});
}

// An attempt that failed after its cancellation was requested says nothing
// about the server: the connection was closed for the cancellation.
void PoolEngine::CountResult(PoolAttempt& attempt,
                             AttemptResult result,
                             Instant now) {
  if (std::exchange(attempt.result_counted, true)) {
    return;
  }
  if (attempt.cancel_requested && result == AttemptResult::kFailed) {
    return;
  }
  const Duration latency = now - attempt.started;
  ledger_.OnResult(attempt.backend, result, latency, now);
  if (result == AttemptResult::kOk) {
    attempt.kind->OnResponse(latency);
  }
}

void PoolEngine::ReleaseSlot(AttemptId id, Instant now) {
  const auto found = attempts_.find(id);
  const PoolAttempt& attempt = found->second;
  ledger_.Release(attempt.backend);
  attempt.kind->OnRelease(now - attempt.started, now);
  attempts_.erase(found);
}

void PoolEngine::RequestCancel(AttemptId id) {
  PoolAttempt& attempt = attempts_.at(id);
  if (std::exchange(attempt.cancel_requested, true)) {
    return;
  }
  actions_.emplace_back(
      CancelAttemptAction{id, ledger_.at(attempt.backend).name});
}

}  // namespace heatherlever
