#include "heathersteer/pause_detector.h"

#include <utility>

namespace heathersteer {

using heatherlever::Instant;

bool PauseDetector::Observe(Instant now) {
  const Instant last = std::exchange(last_, now).value_or(now);
  if (now - last < threshold_) {
    return false;
  }
  began_at_ = last;
  ended_at_ = now;
  return true;
}

}  // namespace heathersteer
