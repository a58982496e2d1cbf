#include "heathersteer/cold_rate_limiter.h"

#include <algorithm>
#include <chrono>

#include "heathersteer/cold_rate_shares.h"

namespace heathersteer {

using heatherlever::Duration;
using heatherlever::Instant;

Duration ColdRateLimiter::TimeToSend(const ColdRateShares& shares,
                                     const BackendServer& server,
                                     double requests_per_s,
                                     Instant now) {
  if (!shares.known(now)) {
    return Duration::max();
  }
  if (generation_ != shares.generation()) {
    generation_ = shares.generation();
    rank_ = shares.Rank(server);
  }
  const int share = shares.Share(requests_per_s, rank_);
  if (share == 0) {
    return Duration::max();
  }
  if (!last_send_) {
    return Duration(0);
  }
  // Longer than the exact interval, so that `share` + 1 requests do not fit
  // into one second.
  const Duration interval =
      Duration(std::chrono::seconds(1)) / share + Duration(1);
  return std::max(Duration(0), *last_send_ + interval - now);
}

}  // namespace heathersteer
