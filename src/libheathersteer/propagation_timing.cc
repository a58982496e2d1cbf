#include "heathersteer/propagation_timing.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace heathersteer {
namespace {

using heatherlever::Duration;

// Shares of the bound. A change just after a read is seen by the next one; the
// rest of the bound is for propagation to the other hosts and for the failure
// of a reader.
constexpr double kReadShare = 0.45;
constexpr double kWatchShare = 0.5;
constexpr double kLongPollShare = 0.475;
constexpr double kStaleAfterShare = 0.7;
// Maximum bound that is used: with longer long polls the failure of a host
// would be noticed too late.
constexpr Duration kMaxBound = std::chrono::seconds(2);

Duration Part(Duration bound, double share) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(bound.count()) * share));
}

}  // namespace

PropagationTiming PropagationTiming::Within(Duration bound) {
  const Duration used = std::min(bound, kMaxBound);
  return {.read_interval = Part(used, kReadShare),
          .watch_timeout = Part(used, kWatchShare),
          .long_poll_timeout = Part(used, kLongPollShare),
          .stale_after = Part(used, kStaleAfterShare)};
}

}  // namespace heathersteer
