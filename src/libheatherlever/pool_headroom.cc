#include "pool_headroom.h"

#include <algorithm>

#include "heatherlever/placement_options.h"

namespace heatherlever {
namespace {

// Share of the headroom that is used while a pool's caches are cold.
constexpr double kColdShare = 0.1;

double Ratio(Duration part, Duration total) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max(total, Duration(1)).count());
}

}  // namespace

void PoolHeadroom::OnSummary(const HeadroomReport& summary, Instant now) {
  // Summaries may arrive by several paths and out of order.
  const Instant measured_at = now - summary.age;
  if (summary_ && measured_at < measured_at_) {
    return;
  }
  summary_ = summary;
  measured_at_ = measured_at;
  // Requests that were in flight both now and at the last summary held slots
  // when the owner measured, so the free slots of the summary are in addition
  // to them.
  in_flight_in_report_ = std::min(in_flight_, in_flight_at_report_);
  in_flight_at_report_ = in_flight_;
}

bool PoolHeadroom::HasSummary(const PlacementOptions& options,
                              Instant now) const {
  return summary_ && now - measured_at_ < options.stale_age;
}

int PoolHeadroom::Available(const PlacementOptions& options,
                            Instant now) const {
  const double usable = SummaryLimit(options) * AgeWeight(options, now);
  if (usable < 1) {
    return 0;
  }
  const int limit = static_cast<int>(usable * RampShare(options, now));
  // A cold pool gets at least one request at a time, or it would stay cold.
  return std::max(0, std::max(limit, 1) - in_flight_);
}

void PoolHeadroom::OnMoved(const PlacementOptions& options, Instant now) {
  if (IsCold(options, now)) {
    ramp_start_ = now;
  }
  last_move_ = now;
  ++in_flight_;
}

void PoolHeadroom::OnMoveDone() {
  in_flight_ = std::max(0, in_flight_ - 1);
}

int PoolHeadroom::SummaryLimit(const PlacementOptions& options) const {
  if (!summary_) {
    return 0;
  }
  if (summary_->granted) {
    return *summary_->granted;
  }
  const int spare = std::max(0, summary_->free_slots - summary_->queued);
  const int senders = std::max(1, options.headroom_senders);
  // The parts of all indexes add up to exactly the spare slots.
  return in_flight_in_report_ +
         (spare + options.headroom_sender_index % senders) / senders;
}

double PoolHeadroom::AgeWeight(const PlacementOptions& options,
                               Instant now) const {
  const Duration excess = now - measured_at_ - options.fresh_age;
  const Duration span = options.stale_age - options.fresh_age;
  return std::clamp(1 - Ratio(excess, span), 0.0, 1.0);
}

double PoolHeadroom::RampShare(const PlacementOptions& options,
                               Instant now) const {
  if (options.move_ramp <= Duration(0)) {
    return 1;
  }
  if (IsCold(options, now)) {
    return kColdShare;
  }
  const double progress = Ratio(now - *ramp_start_, options.move_ramp);
  return kColdShare + (1 - kColdShare) * std::clamp(progress, 0.0, 1.0);
}

bool PoolHeadroom::IsCold(const PlacementOptions& options, Instant now) const {
  return !ramp_start_ || now - last_move_ >= options.move_idle;
}

}  // namespace heatherlever
