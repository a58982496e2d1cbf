#include "heathersteer/store_read_backoff.h"

#include <algorithm>
#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;

// Pause after a first failure.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(600);
// Longest pause. The store counts as back once it has answered for three
// seconds, and a host whose own domain has no reader must know by then.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(2400);
// Doublings up to the longest pause.
constexpr int kMaxDoublings = 2;

}  // namespace

Duration StoreReadBackoff::RetryDelay(bool leads) const {
  if (leads || failures_ == 0) {
    return kInitialRetryDelay;
  }
  const int doublings = std::min(failures_ - 1, kMaxDoublings);
  return std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
}

}  // namespace heathersteer
