#include "heathersteer/cold_rate_limiter.h"

#include <algorithm>
#include <chrono>

#include "heathersteer/backend_server.h"
#include "heathersteer/cold_rate_shares.h"

namespace heathersteer {

using heatherlever::Duration;
using heatherlever::Instant;

Duration ColdRateLimiter::TimeToSend(const ColdRateShares& shares,
                                     const BackendServer& server,
                                     double requests_per_s,
                                     Instant now) {
  if (generation_ != shares.generation()) {
    generation_ = shares.generation();
    rank_ = shares.Rank(server);
  }
  const int share = shares.Share(requests_per_s, rank_);
  if (share == 0) {
    return Duration::max();
  }
  // A server that isn't listed as cold has failed since this process started,
  // so what an earlier one sent did not reach its present incarnation.
  const Duration start_wait =
      now < server.cold_until ? shares.earlier_sends_end() - now : Duration(0);
  if (!last_send_) {
    return std::max(Duration(0), start_wait);
  }
  // Longer than the exact interval, so that `share` + 1 requests do not fit
  // into one second.
  const Duration interval =
      Duration(std::chrono::seconds(1)) / share + Duration(1);
  return std::max({Duration(0), start_wait, *last_send_ + interval - now});
}

}  // namespace heathersteer
