#include "heathersteer/shared_rate_limiter.h"

#include <algorithm>
#include <cstdint>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Intervals without an event after which the limiter restarts with the phase.
constexpr int kIdleIntervals = 2;

}  // namespace

bool SharedRateLimiter::Ready(Instant now, Duration interval, double phase) {
  if (now > next_event_ + interval * kIdleIntervals) {
    const auto wait = static_cast<double>(interval.count()) * phase;
    next_event_ = now + Duration(static_cast<std::int64_t>(wait));
  }
  return now >= next_event_;
}

void SharedRateLimiter::Take(Instant now, Duration interval) {
  next_event_ = std::max(now, next_event_) + interval;
}

}  // namespace heathersteer
