#ifndef HEATHERSTEER_PLACEMENT_OPTIONS_H_
#define HEATHERSTEER_PLACEMENT_OPTIONS_H_

#include <string>

namespace heathersteer {

/// Where this host stands, and how much a server's distance counts.
struct PlacementOptions {
  /// Name of this host.
  std::string host;
  std::string region;
  std::string domain;
  /// Weight of servers in another region, against 1 in the own domain.
  double other_region_weight = 0.15;
  /// Weight of servers in another failure domain of the own region.
  double other_domain_weight = 0.5;
  /// Servers of the own region that are considered for one affinity key, where
  /// other regions can take what does not fit.
  int local_choices = 1;
  /// The same for requests that can't leave the region.
  int local_only_choices = 2;
  /// Servers of each other region that are considered for it. They are the ones
  /// that their own region's hosts prefer for the key, so that it is warm
  /// there.
  int remote_choices = 1;
  /// Hosts that send to the same servers.
  int host_count = 1;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PLACEMENT_OPTIONS_H_
