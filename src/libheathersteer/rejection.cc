#include "heathersteer/rejection.h"

#include <algorithm>
#include <cstdint>

#include "heathersteer/route.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;

// A request may be queued for this part of the target latency: a rejection then
// still leaves the caller time to retry within the target.
constexpr int kQueueTimeDivisor = 8;
// Callers wait at most this part of their time left, but not less than the
// minimum delay.
constexpr int kTimeLeftDivisor = 3;
// Minimum delay, a few service times of a slot.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(30);

}  // namespace

Duration MaxQueueTime(const Route& route) {
  return route.target_latency / kQueueTimeDivisor;
}

Duration RetryAfter(Duration time_left, double random) {
  const Duration max_delay =
      std::max(kMinRetryDelay, time_left / kTimeLeftDivisor);
  const auto spread =
      static_cast<double>((max_delay - kMinRetryDelay).count()) * random;
  return kMinRetryDelay + Duration(static_cast<std::int64_t>(spread));
}

}  // namespace heathersteer
