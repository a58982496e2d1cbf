#ifndef HEATHERSTEER_PROPAGATION_TIMING_H_
#define HEATHERSTEER_PROPAGATION_TIMING_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Times by which news of the store reach every host within a bound.
struct PropagationTiming {
  /// Between two reads of the backend servers by the host that reads for its
  /// failure domain.
  heatherlever::Duration read_interval;
  /// For which a question of another host is held while there is no news.
  heatherlever::Duration long_poll_timeout;
  /// Age of the own news from which on a host looks for other ways to get them.
  heatherlever::Duration stale_after;

  /// `bound`: longest time from a change in the store until every host acts on
  /// it.
  static PropagationTiming Within(heatherlever::Duration bound);
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PROPAGATION_TIMING_H_
