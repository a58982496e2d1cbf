#ifndef HEATHERSTEER_PLACEMENT_OPTIONS_H_
#define HEATHERSTEER_PLACEMENT_OPTIONS_H_

#include <string>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Location of this host and weights of servers by their location.
struct PlacementOptions {
  /// Name of this host.
  std::string host;
  std::string region;
  std::string domain;
  /// Weight of servers in another region; servers in the local domain have 1.
  double other_region_weight = 0.15;
  /// Weight of servers in another failure domain of the local region.
  double other_domain_weight = 0.5;
  /// Number of servers of the local region that are considered for one affinity
  /// key if other regions can take the overflow.
  int local_choices = 1;
  /// The same for requests that can't be shifted.
  int local_only_choices = 2;
  /// Number of servers of each remote region that are considered for the key.
  /// The hosts of that region prefer the same servers, so the key is warm
  /// there.
  int remote_choices = 1;
  /// Time after a server first stated that it is leaving in which it still gets
  /// requests for which no other server is usable.
  heatherlever::Duration leaving_grace = std::chrono::seconds(2);
  /// Number of hosts that send to the same servers; 0 while it isn't known.
  int host_count = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PLACEMENT_OPTIONS_H_
