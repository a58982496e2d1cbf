#ifndef HEATHERSTEER_SERVER_STATE_H_
#define HEATHERSTEER_SERVER_STATE_H_

#include <algorithm>
#include <optional>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/cold_rate_limiter.h"
#include "heathersteer/server_health.h"
#include "heathersteer/server_load.h"
#include "heathersteer/server_rate_limit.h"

namespace heathersteer {

/// A backend server together with this host's knowledge of its load and health.
struct ServerState {
  BackendServer server;
  ServerLoad load;
  ServerHealth health;
  /// Limits this host's requests to the server while it is cold.
  ColdRateLimiter cold_limiter;
  ServerRateLimit rate_limit;
  /// Time at which the server first stated that it is leaving, if it has.
  std::optional<heatherlever::Instant> leaving_since;
  /// Time until which the server wants no requests from this host.
  heatherlever::Instant backoff_until{0};
  /// Whether the server is still on the platform's list.
  bool listed = true;

  /// Whether the server is limited to the request rate of a cold server.
  bool cold(heatherlever::Instant now) const { return now < cold_end(); }

  /// Time until which the server counts as cold.
  heatherlever::Instant cold_end() const {
    return std::max(server.cold_until, health.probation_end());
  }

  /// Time for which the server still wants no requests from this host.
  heatherlever::Duration BackoffLeft(heatherlever::Instant now) const {
    return std::max(heatherlever::Duration(0), backoff_until - now);
  }
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_STATE_H_
