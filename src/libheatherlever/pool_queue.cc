#include "heatherlever/pool_queue.h"

#include <utility>

#include "pool_engine.h"

namespace heatherlever {
namespace {

bool IsShare(double value) {
  return value >= 0 && value <= 1;
}

// Describes the first invalid option; empty if all are valid.
std::string OptionsError(const PoolOptions& options) {
  if (options.max_queue == 0) {
    return "max_queue has to be at least 1, found 0";
  }
  if (options.max_attempts < 1) {
    return "max_attempts has to be at least 1, found " +
           std::to_string(options.max_attempts);
  }
  if (options.eject_after_failures < 1) {
    return "eject_after_failures has to be at least 1, found " +
           std::to_string(options.eject_after_failures);
  }
  if (!IsShare(options.retry_share) || !IsShare(options.cold_share) ||
      !IsShare(options.adopted_share) ||
      !IsShare(options.admission_wait_share) ||
      !IsShare(options.max_ejected_share)) {
    return "every share has to lie from 0 to 1";
  }
  if (options.overdue_service_times <= 0) {
    return "overdue_service_times has to be above 0";
  }
  return "";
}

}  // namespace

absl::StatusOr<std::unique_ptr<PoolQueue>> PoolQueue::Create(
    const PoolOptions& options,
    std::uint64_t seed) {
  const std::string error = OptionsError(options);
  if (!error.empty()) {
    return absl::InvalidArgumentError("pool options: " + error);
  }
  return std::unique_ptr<PoolQueue>(
      new PoolQueue(std::make_unique<PoolEngine>(options, seed)));
}

PoolQueue::PoolQueue(std::unique_ptr<PoolEngine> engine)
    : engine_(std::move(engine)) {}

PoolQueue::~PoolQueue() = default;

void PoolQueue::SetBackends(const std::vector<BackendSpec>& backends,
                            const std::set<std::string>& draining,
                            Instant now) {
  engine_->SetBackends(backends, draining, now);
}

void PoolQueue::AdoptPool(const std::vector<BackendReport>& reports,
                          Duration hold,
                          Instant now) {
  engine_->AdoptPool(reports, hold, now);
}

void PoolQueue::ReportLoad(const BackendReport& report) {
  engine_->ReportLoad(report);
}

bool PoolQueue::Submit(const PoolRequest& request, Instant now) {
  return engine_->Submit(request, now);
}

void PoolQueue::MarkReady(RequestId id, Instant now) {
  engine_->MarkReady(id, now);
}

void PoolQueue::Cancel(RequestId id, Instant now) {
  engine_->Cancel(id, now);
}

void PoolQueue::AttemptDone(AttemptId attempt,
                            AttemptResult result,
                            Instant now) {
  engine_->AttemptDone(attempt, result, now);
}

void PoolQueue::Tick(Instant now) {
  engine_->Tick(now);
}

std::optional<Instant> PoolQueue::NextWakeup() const {
  return engine_->NextWakeup();
}

std::vector<PoolAction> PoolQueue::TakeActions() {
  return engine_->TakeActions();
}

PoolSummary PoolQueue::Summary() const {
  return engine_->Summary();
}

}  // namespace heatherlever
