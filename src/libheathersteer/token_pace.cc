#include "heathersteer/token_pace.h"

#include <algorithm>
#include <cstdint>

namespace heathersteer {

void TokenPace::Take(heatherlever::Instant now, double per_s) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const heatherlever::Duration pause(
      static_cast<std::int64_t>(kMicrosecondsPerSecond / per_s));
  next_ = std::max(now, next_) + pause;
}

}  // namespace heathersteer
