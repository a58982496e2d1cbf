#ifndef HEATHERGATE_GATEWAY_OPTIONS_H_
#define HEATHERGATE_GATEWAY_OPTIONS_H_

#include <cstdint>

#include "heathergate/header_names.h"
#include "heathersteer/placement_options.h"
#include "heathersteer/retry_budget.h"
#include "heathersteer/shift_limiter.h"

namespace heathergate {

/// How a gateway forwards.
struct GatewayOptions {
  HeaderNames names;
  heathersteer::PlacementOptions placement;
  heathersteer::RetryBudgetOptions retries;
  /// Change of the share of requests that leave the region; see ShiftPace.
  double max_shift_change = heathersteer::ShiftLimiter::kDefaultMaxChange;
  /// Longest time for which requests wait at a host that has just started for
  /// the first configuration and backend server. Both take some round trips
  /// to the platform's store.
  heatherlever::Duration max_startup_wait = std::chrono::milliseconds(250);
  /// Seed of the spread of Retry-After.
  std::uint64_t seed = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_GATEWAY_OPTIONS_H_
