#ifndef HEATHERSTEER_BURST_LIMITER_H_
#define HEATHERSTEER_BURST_LIMITER_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Spaces events: they are an interval apart on average, and after a pause some
/// may follow each other at once.
class BurstLimiter {
 public:
  /// `burst` is the number of events that may follow each other at once.
  BurstLimiter(heatherlever::Duration interval, int burst)
      : interval_(interval), tolerance_(interval * (burst - 1)) {}

  /// Reserves the next event; returns the time until it may happen.
  heatherlever::Duration Reserve(heatherlever::Instant now);

 private:
  heatherlever::Duration interval_;
  heatherlever::Duration tolerance_;
  // Time of the next event if all were an interval apart.
  heatherlever::Instant next_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_BURST_LIMITER_H_
