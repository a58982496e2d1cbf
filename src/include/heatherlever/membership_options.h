#ifndef HEATHERLEVER_MEMBERSHIP_OPTIONS_H_
#define HEATHERLEVER_MEMBERSHIP_OPTIONS_H_

#include <cstddef>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Timing and bounds of a Membership; the same on all hosts.
struct MembershipOptions {
  /// Hosts of the own region that this host probes, picked by hash.
  std::size_t region_neighbors = 2;
  /// The same of other regions.
  std::size_t outside_neighbors = 1;
  /// Hosts asked to probe a host that did not answer.
  std::size_t helpers = 2;
  /// News in one message; the rest follows in the next.
  std::size_t max_news_per_message = 24;

  /// Between two probes of one neighbor.
  Duration probe_interval{1'000'000};
  /// Between two probes of hosts picked at random.
  Duration random_probe_interval{2'000'000};
  /// Between two probes of a watched host.
  Duration watched_probe_interval{500'000};
  /// From a probe to the call for helpers.
  Duration probe_timeout{400'000};
  /// Without a sign of life for this long a host is suspect.
  Duration suspect_after{3'000'000};
  /// The same for a watched host.
  Duration watched_suspect_after{1'500'000};
  /// From suspect to dead.
  Duration dead_after{3'000'000};
  /// Least time between two comparisons of all versions with a peer.
  Duration sync_interval{5'000'000};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBERSHIP_OPTIONS_H_
