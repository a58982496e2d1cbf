#ifndef HEATHERSTEER_SERVER_DELTA_H_
#define HEATHERSTEER_SERVER_DELTA_H_

#include <string>
#include <vector>

#include "heathersteer/backend_server.h"

namespace heathersteer {

/// Difference between a list of backend servers and an earlier one.
struct ServerDelta {
  /// Whether `changed` is the full list, whatever the earlier one was.
  bool full = false;
  /// Servers that were added or changed.
  std::vector<BackendServer> changed;
  /// Ids of removed servers.
  std::vector<std::string> removed;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_DELTA_H_
