#include "heathersteer/cold_rate_limiter.h"

#include <algorithm>
#include <chrono>

#include "heathersteer/backend_server.h"
#include "heathersteer/cold_rate_parts.h"

namespace heathersteer {

using heatherlever::Duration;
using heatherlever::Instant;

Duration ColdRateLimiter::TimeToSend(const ColdRateParts& parts,
                                     const BackendServer& server,
                                     double requests_per_s,
                                     Instant now) {
  if (generation_ != parts.generation()) {
    generation_ = parts.generation();
    rank_ = parts.Rank(server);
  }
  const int part = parts.Part(requests_per_s, rank_);
  if (part == 0) {
    return Duration::max();
  }
  // A server that isn't listed as cold has failed since this process started,
  // so what an earlier one sent did not reach its present incarnation.
  const Duration start_wait =
      now < server.cold_until ? parts.earlier_sends_end() - now : Duration(0);
  if (!last_send_) {
    return std::max(Duration(0), start_wait);
  }
  // Longer than the exact interval, so that `part` + 1 requests do not fit
  // into one second.
  const Duration interval =
      Duration(std::chrono::seconds(1)) / part + Duration(1);
  return std::max({Duration(0), start_wait, *last_send_ + interval - now});
}

}  // namespace heathersteer
