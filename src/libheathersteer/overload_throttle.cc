#include "heathersteer/overload_throttle.h"

#include <chrono>
#include <cmath>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Age at which an end counts for 1/e.
constexpr Duration kDecayTime = std::chrono::seconds(1);
// Requests that are sent for each one that is served, at most: a third of the
// sends may fail before any request is rejected, and what is sent can grow by
// half in each fade once servers recover.
constexpr double kSentPerServed = 1.5;
// Ends from which on their shares count.
constexpr double kMinEnded = 5;

}  // namespace

void OverloadThrottle::RecordServed(Instant now) {
  Decay(now);
  ++ended_;
  ++served_;
}

void OverloadThrottle::RecordTimeout(Instant now) {
  Decay(now);
  ++ended_;
}

bool OverloadThrottle::ShouldReject(Instant now, double random) {
  Decay(now);
  if (ended_ < kMinEnded) {
    return false;
  }
  const double share = (ended_ - kSentPerServed * served_) / (ended_ + 1);
  if (random >= share) {
    return false;
  }
  ++ended_;
  return true;
}

void OverloadThrottle::Decay(Instant now) {
  const double age = static_cast<double>((now - decayed_at_).count());
  const double left = std::exp(-age / static_cast<double>(kDecayTime.count()));
  ended_ *= left;
  served_ *= left;
  decayed_at_ = now;
}

}  // namespace heathersteer
