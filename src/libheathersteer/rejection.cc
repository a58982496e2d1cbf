#include "heathersteer/rejection.h"

#include <algorithm>
#include <cstdint>

#include "heathersteer/route.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;

// Part of the target latency that a request may wait at this host; up to here a
// rejection still leaves the client time to come back within the target.
constexpr int kQueueTimeDivisor = 8;
// Clients wait at most this part of their time left.
constexpr int kTimeLeftDivisor = 3;
// Shortest pause, a few service times of a slot.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(30);

}  // namespace

Duration MaxQueueTime(const Route& route) {
  return route.target_latency / kQueueTimeDivisor;
}

Duration RetryAfter(Duration time_left, double random) {
  const Duration most = std::max(kMinRetryDelay, time_left / kTimeLeftDivisor);
  const auto spread =
      static_cast<double>((most - kMinRetryDelay).count()) * random;
  return kMinRetryDelay + Duration(static_cast<std::int64_t>(spread));
}

}  // namespace heathersteer
