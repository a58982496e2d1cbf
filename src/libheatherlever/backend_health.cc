#include "backend_health.h"

#include <algorithm>

namespace heatherlever {
namespace {

constexpr int kLatencySmoothing = 10;
constexpr int kMinResponses = 8;

// Responses after which earlier ejections no longer lengthen the next one.
constexpr int kEjectionResetResponses = 200;

constexpr int kMaxDoublings = 16;

// Time after an ejection for which only idempotent work is used as a probe.
// Pools without idempotent work have to probe with other work after it.
constexpr Duration kIdempotentOnlyTime = std::chrono::seconds(5);

}  // namespace

BackendHealth::BackendHealth(const PoolOptions& options) : options_(&options) {}

bool BackendHealth::has_latency() const {
  return responses_ >= kMinResponses;
}

void BackendHealth::OnResponse(Duration latency) {
  ++responses_;
  latency_ += (latency - latency_) / std::min(responses_, kLatencySmoothing);
  consecutive_failures_ = 0;
  on_probation_ = false;
  idempotent_only_ = false;
  if (responses_ >= kEjectionResetResponses) {
    ejections_ = 0;
  }
}

void BackendHealth::OnFailure() {
  ++consecutive_failures_;
}

bool BackendHealth::IsOutlier(Duration median_latency) const {
  if (ejected_) {
    return false;
  }
  if (consecutive_failures_ >= options_->eject_after_failures) {
    return true;
  }
  const double slow = options_->eject_latency_multiple *
                      static_cast<double>(median_latency.count());
  return has_latency() && median_latency > Duration(0) &&
         static_cast<double>(latency_.count()) > slow;
}

void BackendHealth::Eject(Instant now) {
  const Duration backoff =
      options_->base_ejection_time * (1 << std::min(ejections_, kMaxDoublings));
  ejected_until_ = now + std::min(backoff, options_->max_ejection_time);
  ++ejections_;
  ejected_ = true;
  on_probation_ = false;
  idempotent_only_ = false;
}

void BackendHealth::EndEjection(Instant now) {
  ejected_ = false;
  on_probation_ = true;
  idempotent_only_ = true;
  idempotent_only_until_ = now + kIdempotentOnlyTime;
  responses_ = 0;
  latency_ = Duration(0);
  consecutive_failures_ = options_->eject_after_failures - 1;
}

}  // namespace heatherlever
