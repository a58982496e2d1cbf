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
  /// Servers that are considered for one affinity key while they have room.
  int choices = 2;
  /// Hosts that send to the same servers.
  int hosts = 1;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PLACEMENT_OPTIONS_H_
