#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace heatherlever {
namespace {

constexpr double kShrinkFactor = 0.75;
constexpr double kMinLimit = 1;

// Growth intervals that a limit stays put after it shrank.
constexpr int kHoldIntervals = 8;

// Gradient: lowest ratio applied in one step.
constexpr double kMinGradient = 0.5;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const PoolOptions& options, int slots)
    : options_(options), slots_(slots), limit_(slots) {}

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
  next_growth_ = now + options_.growth_interval;
  next_shrink_ = now;
}

void ConcurrencyLimit::OnAnswer(double slowness, Instant now) {
  switch (options_.limit_policy) {
    case LimitPolicy::kFixed:
      limit_ = slots_;
      return;
    case LimitPolicy::kGradient:
      FollowGradient(slowness, now);
      return;
    case LimitPolicy::kAimd:
      if (slowness > options_.slow_multiple) {
        Shrink(now);
      } else {
        Grow(now);
      }
      return;
  }
}

void ConcurrencyLimit::OnShed(Instant now) {
  if (options_.limit_policy != LimitPolicy::kFixed) {
    Shrink(now);
  }
}

void ConcurrencyLimit::Grow(Instant now) {
  if (now < next_growth_ || limit_ >= slots_) {
    return;
  }
  limit_ = std::min<double>(slots_, std::floor(limit_) + 1);
  next_growth_ = now + options_.growth_interval;
}

// Several sheds of one burst count once.
void ConcurrencyLimit::Shrink(Instant now) {
  next_growth_ = now + kHoldIntervals * options_.growth_interval;
  if (now < next_shrink_) {
    return;
  }
  limit_ = std::max(kMinLimit, std::min(std::floor(limit_) - 1,
                                        std::floor(limit_ * kShrinkFactor)));
  next_shrink_ = now + options_.growth_interval;
}

void ConcurrencyLimit::FollowGradient(double slowness, Instant now) {
  if (now < next_growth_) {
    return;
  }
  const double gradient =
      std::clamp(options_.slow_multiple / slowness, kMinGradient, 1.0);
  const double target = limit_ * gradient + std::sqrt(limit_);
  limit_ = std::clamp<double>((limit_ + target) / 2, kMinLimit, slots_);
  next_growth_ = now + options_.growth_interval;
}

}  // namespace heatherlever
