#ifndef HEATHERSTEER_SHARED_RATE_LIMITER_H_
#define HEATHERSTEER_SHARED_RATE_LIMITER_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// This host's part of a rate that several hosts share: one event at a time,
/// with a pause of hosts / rate after each. After a long rest the first event
/// waits for a part of the pause, so that the hosts do not begin together.
class SharedRateLimiter {
 public:
  /// `pause` is the time between two events of this host, `phase` in [0, 1) the
  /// part of it that the first one waits for.
  bool Ready(heatherlever::Instant now,
             heatherlever::Duration pause,
             double phase);

  /// Counts an event.
  void Take(heatherlever::Instant now, heatherlever::Duration pause);

 private:
  heatherlever::Instant next_event_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SHARED_RATE_LIMITER_H_
