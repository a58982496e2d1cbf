// Arrivals at a PoolEngine: coalescing, admission, queueing.

#include <algorithm>
#include <utility>

#include "pool_engine.h"
#include "wait_estimate.h"

namespace heatherlever {
namespace {

// Time after which callers should retry at a pool without a usable server.
constexpr Duration kNoServerRetryAfter = std::chrono::seconds(1);

Duration Times(double factor, Duration span) {
  return Duration(
      static_cast<std::int64_t>(factor * static_cast<double>(span.count())));
}

}  // namespace

bool PoolEngine::TryCoalesce(const PoolRequest& request,
                             const KindQueue& kind,
                             Instant now) {
  if (!request.idempotent || request.deadline <= now) {
    return false;
  }
  const std::optional<JobId> shared =
      coalescing_.Find(&kind, request.caller, request.coalescing_digest);
  if (!shared) {
    return false;
  }
  AddMember(jobs_.at(*shared), request);
  return true;
}

std::optional<PoolEngine::Refusal> PoolEngine::CheckAdmission(
    const PoolRequest& request,
    const KindQueue& kind,
    Instant now) const {
  const int usable = ledger_.usable_slots();
  if (usable == 0) {
    return Refusal{FinishReason::kNoServer, kNoServerRetryAfter};
  }
  const Duration wait =
      EstimateWait(queue_, kind, request.caller, usable, ledger_.free_slots());
  const double service_times =
      wait > Duration(0) ? options_.admission_service_times : 1;
  const Duration allowed =
      request.deadline - now - Times(service_times, kind.service_time());
  const Duration late =
      wait - std::min(allowed, Times(options_.admission_wait_share, allowed));
  if (late > Duration(0)) {
    return Refusal{FinishReason::kTooLate, late};
  }
  return std::nullopt;
}

// If the queue is full, the newest job of the least urgent kind below `rank` is
// displaced.
bool PoolEngine::EnsureQueueCapacity(Rank rank) {
  if (queue_.size() < options_.max_queue) {
    return true;
  }
  const KindQueue* least_urgent = nullptr;
  for (const auto& kind : queue_.kinds()) {
    if (kind->rank > rank && kind->ready.size() != 0 &&
        (least_urgent == nullptr || kind->rank > least_urgent->rank)) {
      least_urgent = kind.get();
    }
  }
  if (least_urgent == nullptr) {
    return false;
  }
  PoolJob& displaced = jobs_.at(*least_urgent->ready.Newest());
  FinishJob(displaced, RequestOutcome::kNotRun, FinishReason::kQueueFull);
  return true;
}

void PoolEngine::Enqueue(const PoolRequest& request, KindQueue& kind) {
  PoolJob& job = jobs_[next_job_];
  job.id = next_job_++;
  job.kind = &kind;
  job.caller = request.caller;
  job.idempotent = request.idempotent;
  job.ready = request.ready;
  if (request.idempotent) {
    job.coalescing_digest = request.coalescing_digest;
    coalescing_.Add(&kind, job.caller, job.coalescing_digest, job.id);
  }
  AddMember(job, request);
  budget_.Deposit();
  if (job.ready) {
    kind.ready.Push(job.caller, job.id);
  } else {
    ++kind.unready;
  }
}

void PoolEngine::AddMember(PoolJob& job, const PoolRequest& request) {
  job.members.push_back({request.id, request.deadline});
  job.deadline = std::max(job.deadline, request.deadline);
  requests_[request.id] = job.id;
  timers_.Add({request.deadline, PoolTimer::Purpose::kDeadline, request.id});
}

}  // namespace heatherlever
