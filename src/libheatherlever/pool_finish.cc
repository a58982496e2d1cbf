// How jobs and requests of a PoolEngine end.

#include <algorithm>
#include <utility>

#include "pool_engine.h"

namespace heatherlever {
namespace {

FinishReason ReasonOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kOk:
      return FinishReason::kAnswered;
    case AttemptResult::kShed:
    case AttemptResult::kNotSent:
      return FinishReason::kNoServer;
    case AttemptResult::kTimeout:
      return FinishReason::kDeadline;
    case AttemptResult::kCancelled:
      return FinishReason::kCancelled;
    case AttemptResult::kFailed:
    case AttemptResult::kError:
      return FinishReason::kFailed;
  }
  return FinishReason::kFailed;
}

}  // namespace

void PoolEngine::ApplyResult(PoolJob& job,
                             AttemptId attempt,
                             AttemptResult result,
                             Instant now) {
  std::erase(job.attempts, attempt);
  if (result == AttemptResult::kOk) {
    FinishAnswered(job, attempt);
    return;
  }
  job.may_have_run = job.may_have_run || !CertainlyNotRun(result);
  if (!job.attempts.empty()) {
    return;
  }
  if (job.cancelled) {
    FinishJob(job, OutcomeNow(job), FinishReason::kCancelled);
  } else if (MayRetry(job, now)) {
    job.queued = true;
    job.kind->retries.push_back(job.id);
  } else {
    FinishJob(job, OutcomeNow(job), ReasonOf(result));
  }
}

// Retries of work that was certainly not run are limited by max_attempts alone:
// the budget limits the load of retries, and such work put none on a server.
bool PoolEngine::MayRetry(const PoolJob& job, Instant now) {
  const bool allowed =
      (job.idempotent || !job.may_have_run) &&
      job.tried.size() < static_cast<std::size_t>(options_.max_attempts) &&
      !CannotFinishInTime(job, now) && ledger_.HasAlternative(job.tried);
  return allowed && (!job.may_have_run || budget_.Withdraw());
}

void PoolEngine::FinishJob(PoolJob& job,
                           RequestOutcome outcome,
                           FinishReason reason) {
  for (const PoolJob::Member& member : job.members) {
    actions_.emplace_back(
        FinishAction{member.id, outcome, reason, Duration(0), 0});
  }
  RemoveJob(job);
}

void PoolEngine::FinishAnswered(PoolJob& job, AttemptId attempt) {
  for (const PoolJob::Member& member : job.members) {
    actions_.emplace_back(FinishAction{member.id, RequestOutcome::kDone,
                                       FinishReason::kAnswered, Duration(0),
                                       attempt});
  }
  RemoveJob(job);
}

void PoolEngine::RemoveJob(PoolJob& job) {
  for (const AttemptId attempt : job.attempts) {
    attempts_.at(attempt).detached = true;
    RequestCancel(attempt);
  }
  for (const PoolJob::Member& member : job.members) {
    requests_.erase(member.id);
  }
  RemoveFromQueue(job);
  coalescing_.Remove(job.kind, job.caller, job.coalescing_digest, job.id);
  const JobId id = job.id;
  jobs_.erase(id);
}

void PoolEngine::RemoveFromQueue(PoolJob& job) {
  if (!job.queued) {
    return;
  }
  KindQueue& kind = *job.kind;
  if (!job.ready) {
    --kind.unready;
  } else if (job.tried.empty()) {
    kind.ready.Remove(job.caller, job.id);
  } else {
    std::erase(kind.retries, job.id);
  }
}

void PoolEngine::FinishMember(PoolJob& job, RequestId id, FinishReason reason) {
  actions_.emplace_back(
      FinishAction{id, OutcomeNow(job), reason, Duration(0), 0});
  requests_.erase(id);
  std::erase_if(job.members,
                [id](const PoolJob::Member& each) { return each.id == id; });
}

RequestOutcome PoolEngine::OutcomeNow(const PoolJob& job) {
  return job.may_have_run || !job.attempts.empty() ? RequestOutcome::kUnknown
                                                   : RequestOutcome::kNotRun;
}

}  // namespace heatherlever
