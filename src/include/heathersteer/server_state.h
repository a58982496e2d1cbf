#ifndef HEATHERSTEER_SERVER_STATE_H_
#define HEATHERSTEER_SERVER_STATE_H_

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/server_health.h"
#include "heathersteer/server_load.h"
#include "heathersteer/shared_rate_limiter.h"

namespace heathersteer {

/// A backend server together with what this host knows of it.
struct ServerState {
  BackendServer server;
  ServerLoad load;
  ServerHealth health;
  /// This host's share of the requests that the server takes while cold.
  SharedRateLimiter cold_limiter;
  /// Whether the platform's list still names the server.
  bool listed = true;

  /// Whether the server bears only the rate of a cold one.
  bool cold(heatherlever::Instant now) const {
    return now < server.cold_until || health.on_probation(now);
  }
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_STATE_H_
