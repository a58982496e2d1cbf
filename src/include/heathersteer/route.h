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
};

/// Where requests of one host and path prefix go, and how long they may take.
struct Route {
  std::string name;
  /// Value of the Host header, in lower case.
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Longest time that a request is kept waiting for its answer.
  heatherlever::Duration timeout{0};
  /// Time within which an answer earns its full benefit.
  heatherlever::Duration target_latency{0};
  /// Rank; 0 is the most urgent.
  int rank = 0;
  /// At least one; more than one splits the requests by weight.
  std::vector<WeightedService> services;
  /// Backend servers to which one request may be sent.
  int max_attempts = 1;
  /// Whether a server that handled an object lately works faster on it.
  bool sticky = false;
  /// Regions in which requests may run; empty for all.
  std::vector<std::string> home_regions;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_ROUTE_H_
