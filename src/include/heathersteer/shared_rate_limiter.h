#ifndef HEATHERSTEER_SHARED_RATE_LIMITER_H_
#define HEATHERSTEER_SHARED_RATE_LIMITER_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Rate limiter for this host's part of a rate that several hosts share. Events
/// are at least an interval of hosts / rate apart. After a long idle time the
/// first event waits for a part of the interval, so that the hosts do not start
/// together.
class SharedRateLimiter {
 public:
  /// Whether an event is allowed now. `interval` is the time between two events
  /// of this host, `phase` in [0, 1) the part of it that the first one waits.
  bool Ready(heatherlever::Instant now,
             heatherlever::Duration interval,
             double phase);

  /// Counts an event.
  void Take(heatherlever::Instant now, heatherlever::Duration interval);

 private:
  heatherlever::Instant next_event_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SHARED_RATE_LIMITER_H_
