#include "heathersteer/store_read_backoff.h"

#include <algorithm>
#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;

// Delay after the first failure.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(600);
// Maximum delay. The store counts as recovered once it has responded for three
// seconds, and a host whose domain has no reader must notice it by then.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(2400);
// Number of doublings up to the maximum delay.
constexpr int kMaxDoublings = 2;

}  // namespace

Duration StoreReadBackoff::RetryDelay(bool is_reader) const {
  if (is_reader || failures_ == 0) {
    return kInitialRetryDelay;
  }
  const int doublings = std::min(failures_ - 1, kMaxDoublings);
  return std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
}

}  // namespace heathersteer
