#ifndef HEATHERLEVER_PLACEMENT_OPTIONS_H_
#define HEATHERLEVER_PLACEMENT_OPTIONS_H_

#include <chrono>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Settings of Placement.
struct PlacementOptions {
  /// Configured maximum number of entry hosts, by which link budgets are
  /// divided.
  int max_hosts = 22;
  /// Hosts that may send to the same pool at the same time. Divides headroom
  /// that the pool's owner has not divided itself.
  int headroom_senders = 22;
  /// This host's place among those, from 0: decides who gets what rounding the
  /// parts leaves. Differs from host to host, such as the place of its name in
  /// the epoch.
  int headroom_sender_index = 0;
  /// Window over which the shift caps count.
  Duration cap_window = std::chrono::seconds(60);
  /// A summary counts in full up to this age, and then less and less.
  Duration fresh_age = std::chrono::milliseconds(500);
  /// A summary of this age counts for nothing.
  Duration stale_age = std::chrono::seconds(3);
  /// Time over which the requests moved to a region rise to what its headroom
  /// allows, as its caches are cold. 0 for no ramp.
  Duration move_ramp = std::chrono::seconds(20);
  /// A region that got no moved requests for this long is cold again.
  Duration move_idle = std::chrono::seconds(60);
  /// Time over which traffic returns to a home region that serves again. 0 for
  /// no ramp.
  Duration return_ramp = std::chrono::seconds(30);
  /// Retry-After of a refusal for lack of headroom.
  Duration retry_after = std::chrono::seconds(1);
  /// Time in which each link budget's bucket fills.
  Duration link_depth = std::chrono::milliseconds(100);
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PLACEMENT_OPTIONS_H_
