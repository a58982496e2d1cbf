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

Duration RetryAfter(Duration time_left, double random, Duration available_in) {
  Duration min_delay = kMinRetryDelay;
  Duration max_delay = std::max(min_delay, time_left / kTimeLeftDivisor);
  // Spread over as long again, callers return no faster than they were
  // rejected. Those that can't wait so long may still be served by other hosts.
  if (available_in > min_delay && available_in <= max_delay / 2) {
    min_delay = available_in;
    max_delay = 2 * available_in;
  }
  const auto spread =
      static_cast<double>((max_delay - min_delay).count()) * random;
  return min_delay + Duration(static_cast<std::int64_t>(spread));
}

}  // namespace heathersteer
