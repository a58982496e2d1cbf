#ifndef HEATHERSTEER_SERVICE_H_
#define HEATHERSTEER_SERVICE_H_

#include <string>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Properties of all backend servers of one service.
struct Service {
  std::string name;
  /// Path of requests that its backend servers answer without running anything;
  /// empty if there is none.
  std::string health_path;
  /// Connections that a backend server accepts from all callers.
  int max_connections = 0;
  /// Duration of a cold start, during which a backend server is slow.
  heatherlever::Duration cold_start{0};
  /// Requests per second that a cold backend server can take.
  double cold_requests_per_s = 0;

  bool operator==(const Service&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVICE_H_
