#ifndef HEATHERGATE_FLEET_OPTIONS_H_
#define HEATHERGATE_FLEET_OPTIONS_H_

#include <chrono>

#include "heatherlever/instant.h"

namespace heathergate {

/// How a FleetAgent keeps its host informed.
struct FleetOptions {
  /// Longest time from a change in the store until this host acts on it.
  heatherlever::Duration propagation_bound = std::chrono::seconds(2);
};

}  // namespace heathergate

#endif  // HEATHERGATE_FLEET_OPTIONS_H_
