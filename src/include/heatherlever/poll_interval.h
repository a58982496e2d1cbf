#ifndef HEATHERLEVER_POLL_INTERVAL_H_
#define HEATHERLEVER_POLL_INTERVAL_H_

#include "heatherlever/instant.h"

namespace heatherlever {

/// Number of hosts up to which each polls at the base interval. More hosts
/// together poll as often as this many do.
inline constexpr int kMaxPollersAtBaseInterval = 20;

/// Time until a host's next poll of the platform. `reachable_hosts` is the
/// number of hosts that it can reach, itself included: with more than
/// kMaxPollersAtBaseInterval the interval grows in proportion, so that all of
/// them together poll at a constant rate. `random` in [0, 1) spreads the polls
/// of such hosts between half and one and a half of the interval.
Duration PollInterval(Duration base, int reachable_hosts, double random);

}  // namespace heatherlever

#endif  // HEATHERLEVER_POLL_INTERVAL_H_
