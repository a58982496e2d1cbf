#ifndef HEATHERSTEER_SERVER_DELTA_H_
#define HEATHERSTEER_SERVER_DELTA_H_

#include <string>
#include <vector>

#include "heathersteer/backend_server.h"

namespace heathersteer {

/// How one list of backend servers differs from an earlier one.
struct ServerDelta {
  /// Whether `changed` is the whole list, whatever the earlier one was.
  bool full = false;
  /// Servers that came or changed.
  std::vector<BackendServer> changed;
  /// Ids of servers that are gone.
  std::vector<std::string> removed;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_DELTA_H_
