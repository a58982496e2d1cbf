#include "pool_engine.h"

#include <algorithm>
#include <utility>

#include "wait_estimate.h"

namespace heatherlever {

PoolEngine::PoolEngine(const PoolOptions& options, std::uint64_t seed)
    : options_(options),
      ledger_(options_, seed),
      budget_(options.retry_share, options.retry_burst) {}

void PoolEngine::SetBackends(const std::vector<BackendSpec>& backends,
                             const std::set<std::string>& draining,
                             Instant now) {
  Advance(now);
  ledger_.Update(backends, draining, now);
  Dispatch(now);
}

void PoolEngine::AdoptPool(const std::vector<BackendReport>& reports,
                           Duration hold,
                           Instant now) {
  Advance(now);
  ledger_.Adopt(reports, hold, now);
  Dispatch(now);
}

void PoolEngine::ReportLoad(const BackendReport& report) {
  ledger_.Report(report);
}

bool PoolEngine::Submit(const PoolRequest& request, Instant now) {
  if (requests_.count(request.id) != 0) {
    return false;
  }
  Advance(now);
  KindQueue& kind = queue_.Kind(request);
  if (TryCoalesce(request, kind, now)) {
    return true;
  }
  std::optional<Refusal> refusal = CheckAdmission(request, kind, now);
  if (!refusal && !EnsureQueueCapacity(request.rank)) {
    refusal = Refusal{FinishReason::kQueueFull, kind.service_time()};
  }
  if (refusal) {
    actions_.emplace_back(FinishAction{request.id, RequestOutcome::kNotRun,
                                       refusal->reason, refusal->retry_after,
                                       0});
    return true;
  }
  Enqueue(request, kind);
  Dispatch(now);
  return true;
}

void PoolEngine::MarkReady(RequestId id, Instant now) {
  PoolJob* job = FindJob(id);
  if (job != nullptr && !job->ready) {
    job->ready = true;
    --job->kind->unready;
    job->kind->ready.Push(job->caller, job->id);
  }
  Tick(now);
}

void PoolEngine::Cancel(RequestId id, Instant now) {
  PoolJob* job = FindJob(id);
  if (job != nullptr && job->members.size() > 1) {
    FinishMember(*job, id, FinishReason::kCancelled);
  } else if (job != nullptr && job->attempts.empty()) {
    FinishJob(*job, OutcomeNow(*job), FinishReason::kCancelled);
  } else if (job != nullptr) {
    job->cancelled = true;
    coalescing_.Remove(job->kind, job->caller, job->coalescing_digest, job->id);
    for (const AttemptId attempt : job->attempts) {
      RequestCancel(attempt);
    }
  }
  Tick(now);
}

void PoolEngine::AttemptDone(AttemptId id, AttemptResult result, Instant now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    Tick(now);
    return;
  }
  PoolAttempt& attempt = found->second;
  CountResult(attempt, result, now);
  if (!attempt.detached) {
    attempt.detached = true;
    ApplyResult(jobs_.at(attempt.job), id, result, now);
  }
  if (!MayStillRun(result)) {
    ReleaseSlot(id, now);
  }
  Tick(now);
}

void PoolEngine::Tick(Instant now) {
  Advance(now);
  Dispatch(now);
}

std::optional<Instant> PoolEngine::NextWakeup() const {
  const std::optional<Instant> timer = timers_.next();
  const std::optional<Instant> due = ledger_.NextDue();
  if (timer && due) {
    return std::min(*timer, *due);
  }
  return timer ? timer : due;
}

std::vector<PoolAction> PoolEngine::TakeActions() {
  return std::exchange(actions_, {});
}

PoolSummary PoolEngine::Summary() const {
  PoolSummary summary;
  for (const BackendState& state : ledger_.states()) {
    summary.in_flight += state.in_flight;
    summary.slots += state.active() ? state.slots : 0;
    summary.ejected_servers += state.health.ejected() ? 1 : 0;
    summary.draining_servers += state.draining ? 1 : 0;
  }
  summary.usable_slots = ledger_.usable_slots();
  summary.free_slots = ledger_.free_slots();
  summary.queued = queue_.SizeByRank();
  for (const auto& kind : queue_.kinds()) {
    Duration& wait =
        summary.expected_wait.at(static_cast<std::size_t>(kind->rank));
    wait = std::max(wait, EstimateWait(queue_, *kind, "", summary.usable_slots,
                                       summary.free_slots));
  }
  if (summary.usable_slots > 0) {
    summary.headroom =
        static_cast<double>(summary.free_slots) / summary.usable_slots;
  }
  return summary;
}

void PoolEngine::Advance(Instant now) {
  while (const std::optional<PoolTimer> timer = timers_.PopDue(now)) {
    OnTimer(*timer, now);
  }
  ledger_.Advance(now);
}

void PoolEngine::OnTimer(const PoolTimer& timer, Instant now) {
  switch (timer.purpose) {
    case PoolTimer::Purpose::kDeadline:
      OnDeadline(timer.id, now);
      return;
    case PoolTimer::Purpose::kOverdue:
      OnOverdue(timer.id, now);
      return;
    case PoolTimer::Purpose::kQuarantine:
      OnQuarantineOver(timer.id, now);
      return;
  }
}

void PoolEngine::OnDeadline(RequestId id, Instant now) {
  PoolJob* job = FindJob(id);
  if (job == nullptr) {
    return;
  }
  const auto member =
      std::find_if(job->members.begin(), job->members.end(),
                   [id](const PoolJob::Member& each) { return each.id == id; });
  // The id may have been reused for a later request after the one that the
  // timer was set for had ended.
  if (member->deadline > now) {
    return;
  }
  if (job->members.size() > 1) {
    FinishMember(*job, id, FinishReason::kDeadline);
  } else {
    FinishJob(*job, OutcomeNow(*job), FinishReason::kDeadline);
  }
}

void PoolEngine::OnOverdue(AttemptId id, Instant now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.detached) {
    return;
  }
  PoolAttempt& attempt = found->second;
  const bool first_time = !std::exchange(attempt.overdue, true);
  if (first_time && ledger_.last_response(attempt.backend) < attempt.started) {
    ledger_.OnUnresponsive(attempt.backend, now);
  }
  if (options_.hedge) {
    Hedge(jobs_.at(attempt.job), id, now);
  }
}

// The server enforced the attempt's deadline before the quarantine began, so
// the slot is free although its end was not confirmed.
void PoolEngine::OnQuarantineOver(AttemptId id, Instant now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  PoolAttempt& attempt = found->second;
  CountResult(attempt, AttemptResult::kTimeout, now);
  if (!attempt.detached) {
    attempt.detached = true;
    ApplyResult(jobs_.at(attempt.job), id, AttemptResult::kTimeout, now);
  }
  ReleaseSlot(id, now);
}

PoolJob* PoolEngine::FindJob(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &jobs_.at(found->second);
}

}  // namespace heatherlever
