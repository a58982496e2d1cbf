#include "heatherlever/poll_interval.h"

namespace heatherlever {

// Whoever reads news first spreads it by gossip, so that the time until some
// host polls counts and not the time until each does. A host or region that is
// cut off hears of few hosts and polls faster again.
Duration PollInterval(Duration base, int reachable_hosts, double random) {
  constexpr double kLeastJitter = 0.5;
  if (reachable_hosts <= kMaxPollersAtBaseInterval) {
    return base;
  }
  const double scale =
      static_cast<double>(reachable_hosts) / kMaxPollersAtBaseInterval;
  return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) *
                                             scale * (kLeastJitter + random)));
}

}  // namespace heatherlever
