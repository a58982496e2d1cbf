#ifndef HEATHERSTEER_ROUTE_H_
#define HEATHERSTEER_ROUTE_H_

#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heathersteer {

/// A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// Services and limits for the requests of one host name and path prefix.
struct Route {
  std::string name;
  /// Value of the Host header, in lower case.
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Maximum time until the response to a request.
  heatherlever::Duration timeout{0};
  /// Latency within which a response has its full benefit.
  heatherlever::Duration target_latency{0};
  /// Urgency; 0 is the most urgent.
  int rank = 0;
  /// At least one; requests are split over several by weight.
  std::vector<WeightedService> services;
  /// Maximum number of backend servers to which one request is sent.
  int max_attempts = 1;
  /// Whether a server that recently handled an object is faster on it.
  bool sticky = false;
  /// Regions in which requests may run; empty for all.
  std::vector<std::string> home_regions;

  bool operator==(const Route&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_ROUTE_H_
