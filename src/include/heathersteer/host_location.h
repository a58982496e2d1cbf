#ifndef HEATHERSTEER_HOST_LOCATION_H_
#define HEATHERSTEER_HOST_LOCATION_H_

#include <string>

namespace heathersteer {

/// Name and location of an entry host.
struct HostLocation {
  std::string name;
  std::string region;
  std::string domain;

  bool operator==(const HostLocation&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_HOST_LOCATION_H_
