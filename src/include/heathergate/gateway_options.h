#ifndef HEATHERGATE_GATEWAY_OPTIONS_H_
#define HEATHERGATE_GATEWAY_OPTIONS_H_

#include <cstdint>
#include <memory>

#include "heathergate/header_names.h"
#include "heathersteer/placement_options.h"
#include "heathersteer/retry_budget.h"
#include "heathersteer/shift_limiter.h"

namespace heathergate {

class BufferBudget;
class PauseMonitor;

/// Options of a Gateway.
struct GatewayOptions {
  HeaderNames names;
  heathersteer::PlacementOptions placement;
  heathersteer::RetryBudgetOptions retries;
  /// Maximum change of the share of shifted requests; see ShiftLimiter.
  double max_shift_change = heathersteer::ShiftLimiter::kDefaultMaxChange;
  /// Maximum time for which requests wait at a host that has just started for
  /// the first configuration and backend server. Reading them takes some round
  /// trips to the platform's store.
  heatherlever::Duration max_startup_wait = std::chrono::milliseconds(250);
  /// Maximum number of active requests that other hosts have passed on.
  int max_detoured = 64;
  /// Counts the responses that are being read; nullptr for no common limit.
  std::shared_ptr<BufferBudget> buffers;
  /// Notices pauses of the event loop; nullptr for a monitor of its own.
  std::shared_ptr<PauseMonitor> pauses;
  /// Seed of the random numbers: jitter of Retry-After, throttling.
  std::uint64_t seed = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_GATEWAY_OPTIONS_H_
