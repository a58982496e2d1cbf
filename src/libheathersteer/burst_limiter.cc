#include "heathersteer/burst_limiter.h"

#include <algorithm>

namespace heathersteer {

using heatherlever::Duration;
using heatherlever::Instant;

Duration BurstLimiter::Reserve(Instant now) {
  const Instant at = std::max(next_, now);
  next_ = at + interval_;
  return std::max(Duration(0), at - tolerance_ - now);
}

}  // namespace heathersteer
