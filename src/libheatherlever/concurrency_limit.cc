#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace heatherlever {
namespace {

constexpr double kShrinkFactor = 0.75;
constexpr double kMinLimit = 1;

// Growth intervals for which a limit doesn't grow after a shed.
constexpr int kGrowthPauseIntervals = 8;

// Minimum ratio applied in one adjustment.
constexpr double kMinGradient = 0.5;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const PoolOptions& options, int slots)
    : options_(&options), slots_(slots), limit_(slots) {}

int ConcurrencyLimit::limit() const {
  return std::min(slots_, static_cast<int>(limit_));
}

void ConcurrencyLimit::SetSlots(int slots) {
  if (limit_ >= slots_) {
    limit_ = slots;
  }
  slots_ = slots;
}

void ConcurrencyLimit::Restart(double share, Instant now) {
  limit_ = std::max(kMinLimit, std::floor(share * slots_));
  next_step_ = now + options_->growth_interval;
  next_shrink_ = now;
}

void ConcurrencyLimit::OnResponse(double slowness, Instant now) {
  if (options_->limit_policy == LimitPolicy::kFixed || now < next_step_) {
    return;
  }
  const double gradient =
      std::clamp(options_->slow_multiple / slowness, kMinGradient, 1.0);
  const double target = limit_ * gradient + std::sqrt(limit_);
  limit_ = std::clamp<double>((limit_ + target) / 2, kMinLimit, slots_);
  next_step_ = now + options_->growth_interval;
}

// Several sheds within one growth interval shrink the limit only once.
void ConcurrencyLimit::OnShed(Instant now) {
  if (options_->limit_policy == LimitPolicy::kFixed) {
    return;
  }
  next_step_ = now + kGrowthPauseIntervals * options_->growth_interval;
  if (now < next_shrink_) {
    return;
  }
  const double step = std::floor(limit_) - 1;
  limit_ = std::max(kMinLimit, std::min(step, limit_ * kShrinkFactor));
  next_shrink_ = now + options_->growth_interval;
}

}  // namespace heatherlever
