#ifndef HEATHERSTEER_REJECTION_H_
#define HEATHERSTEER_REJECTION_H_

#include "heatherlever/instant.h"

namespace heathersteer {

struct Route;

/// Maximum time that a request is queued at this host for a free slot at a
/// server. A longer wait would use up the target latency; the caller does
/// better to retry.
heatherlever::Duration MaxQueueTime(const Route& route);

/// Time after which the caller of a rejected request should retry: at most a
/// third of its time left, but not below the minimum delay. `random` in [0, 1)
/// spreads the callers of one burst, so that they do not retry together.
/// `available_in` is the time until this host may send such a request to a
/// server again, 0 if that isn't known.
heatherlever::Duration RetryAfter(heatherlever::Duration time_left,
                                  double random,
                                  heatherlever::Duration available_in = {});

}  // namespace heathersteer

#endif  // HEATHERSTEER_REJECTION_H_
