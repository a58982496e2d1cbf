#include "heathersteer/shift_limiter.h"

#include <algorithm>
#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Seconds of the spans that operators compare.
constexpr double kSpanSeconds = 2;
// Part of the allowed change that is left for chance: the share of some hundred
// requests differs by so much between two spans of equal demand.
constexpr double kRandomVariation = 0.06;
// Least part of the allowed change that is used, where chance would take all.
constexpr double kMinUsedShare = 0.2;
// Weight of the newest request in the mean of the demand.
constexpr double kDemandWeight = 0.025;
// Requests by which the count may run ahead or lag; hosts of one region may do
// so at the same time.
constexpr double kMaxTokens = 2;
// Time after an impairment, or after the first request, in which the share
// follows the demand at once.
constexpr Duration kUnlimitedTime = std::chrono::seconds(5);

}  // namespace

ShiftLimiter::ShiftLimiter(double most_change)
    : max_change_per_second_(std::max(most_change - kRandomVariation,
                                      kMinUsedShare * most_change) /
                             kSpanSeconds) {}

bool ShiftLimiter::IsLimiting(Instant now) const {
  return last_observed_.has_value() && now >= unlimited_until_;
}

void ShiftLimiter::Observe(bool leaves, Instant now) {
  if (!last_observed_) {
    unlimited_until_ = std::max(unlimited_until_, now + kUnlimitedTime);
    demand_ = leaves ? 1 : 0;
  }
  demand_ += kDemandWeight * ((leaves ? 1.0 : 0.0) - demand_);
  if (now < unlimited_until_) {
    allowed_share_ = demand_;
    tokens_ = 0;
  } else {
    const double seconds =
        std::chrono::duration<double>(now - *last_observed_).count();
    const double most = max_change_per_second_ * seconds;
    allowed_share_ += std::clamp(demand_ - allowed_share_, -most, most);
  }
  last_observed_ = now;
}

bool ShiftLimiter::MayShift(Instant now) const {
  return !IsLimiting(now) || tokens_ > -kMaxTokens;
}

bool ShiftLimiter::ShouldShift(Instant now) const {
  return IsLimiting(now) && tokens_ >= kMaxTokens;
}

void ShiftLimiter::Sent(bool leaves, Instant now) {
  if (IsLimiting(now)) {
    tokens_ = std::clamp(tokens_ + allowed_share_ - (leaves ? 1 : 0),
                         -kMaxTokens - 1, kMaxTokens + 1);
  }
}

void ShiftLimiter::MarkImpaired(Instant now) {
  unlimited_until_ = now + kUnlimitedTime;
}

}  // namespace heathersteer
