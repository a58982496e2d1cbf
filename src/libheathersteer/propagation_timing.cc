#include "heathersteer/propagation_timing.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace heathersteer {
namespace {

using heatherlever::Duration;

// Parts of the bound. A change just after a read is known after the next one;
// the rest is for the way to the other hosts and for a reader that was lost.
constexpr double kReadShare = 0.45;
constexpr double kLongPollShare = 0.475;
constexpr double kStaleAfterShare = 0.7;
// Longest bound that is made use of: hosts that hold a question for longer
// would be noticed too late when they die.
constexpr Duration kMaxBound = std::chrono::seconds(2);

Duration Part(Duration whole, double share) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

}  // namespace

PropagationTiming PropagationTiming::Within(Duration bound) {
  const Duration used = std::min(bound, kMaxBound);
  return {.read_interval = Part(used, kReadShare),
          .long_poll_timeout = Part(used, kLongPollShare),
          .stale_after = Part(used, kStaleAfterShare)};
}

}  // namespace heathersteer
