#ifndef HEATHERSTEER_SERVICE_H_
#define HEATHERSTEER_SERVICE_H_

#include <string>

#include "heatherlever/instant.h"

namespace heathersteer {

/// What all backend servers of one service have in common.
struct Service {
  std::string name;
  /// Connections that a backend server accepts from all callers.
  int max_connections = 0;
  /// Time during which a backend server is slow after its start.
  heatherlever::Duration cold_start{0};
  /// Requests a second that a cold backend server bears.
  double cold_requests_per_s = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVICE_H_
