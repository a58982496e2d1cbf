#ifndef HEATHERSTEER_REJECTION_H_
#define HEATHERSTEER_REJECTION_H_

#include "heatherlever/instant.h"

namespace heathersteer {

struct Route;

/// Longest time that a request waits at this host for room at a server. Beyond
/// it the wait would eat up the target latency, and the client does better to
/// come back.
heatherlever::Duration MaxQueueTime(const Route& route);

/// When a rejected client should come back, at the latest after a third of the
/// time it has left. `random` in [0, 1) spreads the clients of one burst, so
/// that they do not come back together.
heatherlever::Duration RetryAfter(heatherlever::Duration time_left,
                                  double random);

}  // namespace heathersteer

#endif  // HEATHERSTEER_REJECTION_H_
