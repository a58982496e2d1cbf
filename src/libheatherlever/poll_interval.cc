#include "heatherlever/poll_interval.h"

namespace heatherlever {

// The first host that reads an update propagates it by gossip, so the delay
// depends on when some host polls and not on when each does. A host or region
// that is cut off reaches few hosts and therefore polls faster again.
Duration PollInterval(Duration base, int reachable_hosts, double random) {
  constexpr double kMinJitter = 0.5;
  if (reachable_hosts <= kMaxPollersAtBaseInterval) {
    return base;
  }
  const double scale =
      static_cast<double>(reachable_hosts) / kMaxPollersAtBaseInterval;
  return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) *
                                             scale * (kMinJitter + random)));
}

}  // namespace heatherlever
