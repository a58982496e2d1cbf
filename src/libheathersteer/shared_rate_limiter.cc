#include "heathersteer/shared_rate_limiter.h"

#include <algorithm>
#include <cstdint>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Pauses without an event after which a pace begins anew.
constexpr int kIdleIntervals = 2;

}  // namespace

bool SharedRateLimiter::Ready(Instant now, Duration pause, double phase) {
  if (now > next_event_ + pause * kIdleIntervals) {
    const auto wait = static_cast<double>(pause.count()) * phase;
    next_event_ = now + Duration(static_cast<std::int64_t>(wait));
  }
  return now >= next_event_;
}

void SharedRateLimiter::Take(Instant now, Duration pause) {
  next_event_ = std::max(now, next_event_) + pause;
}

}  // namespace heathersteer
