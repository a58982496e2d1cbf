#ifndef HEATHERSTEER_PROPAGATION_TIMING_H_
#define HEATHERSTEER_PROPAGATION_TIMING_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Intervals and time limits with which a change in the store reaches every
/// host within a bound.
struct PropagationTiming {
  /// Time between two reads of the backend servers by the host that reads the
  /// store for its failure domain.
  heatherlever::Duration read_interval;
  /// How long a call that watches the operator's state waits for a change. It
  /// limits how long a connection that has gone silent hides changes.
  heatherlever::Duration watch_timeout;
  /// How long a pending request of another host waits for an update.
  heatherlever::Duration long_poll_timeout;
  /// Age of its state from which on a host looks for another source of updates.
  heatherlever::Duration stale_after;

  /// `bound`: maximum time from a change in the store until every host acts on
  /// it.
  static PropagationTiming Within(heatherlever::Duration bound);
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PROPAGATION_TIMING_H_
