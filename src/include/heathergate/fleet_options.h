#ifndef HEATHERGATE_FLEET_OPTIONS_H_
#define HEATHERGATE_FLEET_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <memory>

#include "heatherlever/instant.h"

namespace heathergate {

class PauseMonitor;

/// Options of a FleetAgent.
struct FleetOptions {
  /// Maximum time from a change in the store until this host acts on it.
  heatherlever::Duration propagation_bound = std::chrono::seconds(2);
  /// Interval of the reports by which backend servers stay listed. The platform
  /// removes those that were silent for three of them.
  heatherlever::Duration report_interval = std::chrono::milliseconds(1500);
  /// Whether all hosts may be starting for the first time, so that those that
  /// have registered need not be all. Registrations outlive the hosts.
  bool first_start = true;
  /// Last of the ports that the relay server may listen at; the first one is
  /// in the host's registration.
  std::uint16_t last_relay_port = 0;
  /// Notices pauses of the event loop; the agent is its periodic timer.
  std::shared_ptr<PauseMonitor> pauses;
};

}  // namespace heathergate

#endif  // HEATHERGATE_FLEET_OPTIONS_H_
