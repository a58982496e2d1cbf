#include "heathersteer/server_rate_limit.h"

#include <algorithm>
#include <chrono>

namespace heathersteer {

using heatherlever::Duration;
using heatherlever::Instant;

bool ServerRateLimit::Observe(double requests_per_s, Instant observed_at) {
  if (observed_at <= observed_at_) {
    return false;
  }
  const bool changed = requests_per_s != limit_;
  if (limit_ == 0) {
    bucket_started_ = false;
  }
  limit_ = requests_per_s;
  observed_at_ = observed_at;
  return changed;
}

Duration ServerRateLimit::TimeToSend(Instant now,
                                     int host_count,
                                     double phase) {
  if (limit_ == 0) {
    return Duration(0);
  }
  if (!bucket_started_) {
    bucket_started_ = true;
    bucket_.Reset(phase, now);
  }
  const double part = limit_ / std::max(1, host_count);
  bucket_.Refill(part, now);
  return bucket_.TimeToToken(part);
}

void ServerRateLimit::Take() {
  if (limit_ > 0) {
    bucket_.Take();
  }
}

}  // namespace heathersteer
