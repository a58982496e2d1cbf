#ifndef HEATHERGATE_GATEWAY_OPTIONS_H_
#define HEATHERGATE_GATEWAY_OPTIONS_H_

#include <cstdint>

#include "heathergate/header_names.h"
#include "heathersteer/placement_options.h"
#include "heathersteer/retry_budget.h"

namespace heathergate {

/// How a gateway forwards.
struct GatewayOptions {
  HeaderNames names;
  heathersteer::PlacementOptions placement;
  heathersteer::RetryBudgetOptions retries;
  /// Seed of the spread of Retry-After.
  std::uint64_t seed = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_GATEWAY_OPTIONS_H_
