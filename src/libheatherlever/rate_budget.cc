#include "heatherlever/rate_budget.h"

#include <algorithm>
#include <cmath>

namespace heatherlever {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace

RateBudget::RateBudget(double total_rate, int max_hosts, Duration depth)
    : rate_(std::max(0.0, total_rate) / std::max(1, max_hosts)),
      capacity_(rate_ * Seconds(depth)),
      tokens_(capacity_) {}

bool RateBudget::CanSpend(double amount, Instant now) const {
  return rate_ > 0 && TokensAt(now) >= std::min(amount, capacity_);
}

bool RateBudget::TrySpend(double amount, Instant now) {
  if (!CanSpend(amount, now)) {
    return false;
  }
  Charge(amount, now);
  return true;
}

void RateBudget::Charge(double amount, Instant now) {
  tokens_ = TokensAt(now) - amount;
  updated_ = std::max(updated_, now);
}

Duration RateBudget::TimeUntil(double amount, Instant now) const {
  if (rate_ <= 0) {
    return Duration::max();
  }
  const double missing = std::min(amount, capacity_) - TokensAt(now);
  if (missing <= 0) {
    return Duration(0);
  }
  const double wait_us = std::ceil(missing / rate_ * kMicrosecondsPerSecond);
  return Duration(static_cast<Duration::rep>(wait_us));
}

double RateBudget::TokensAt(Instant now) const {
  const Duration elapsed = std::max(now - updated_, Duration(0));
  return std::min(capacity_, tokens_ + rate_ * Seconds(elapsed));
}

}  // namespace heatherlever
