#ifndef HEATHERSTEER_TRAFFIC_CONFIG_H_
#define HEATHERSTEER_TRAFFIC_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/route.h"
#include "heathersteer/service.h"

namespace heathersteer {

/// Limits for one connection of a caller.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 64ULL << 20;
  /// Maximum time until a request head is complete.
  heatherlever::Duration header_timeout = std::chrono::seconds(3);
  /// Time after which an idle connection is closed.
  heatherlever::Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

/// One version of the operator's configuration, checked: every service that a
/// route names is declared.
struct TrafficConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  CallerLimits limits;

  bool operator==(const TrafficConfig&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_TRAFFIC_CONFIG_H_
