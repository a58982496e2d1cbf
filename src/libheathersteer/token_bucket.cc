#include "heathersteer/token_bucket.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time whose tokens are kept beyond the first one. Hosts with a small rate keep
// hardly more than one, so that a burst at many hosts stays small.
constexpr double kBurstS = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void TokenBucket::Reset(double tokens, Instant now) {
  tokens_ = tokens;
  refilled_at_ = now;
}

void TokenBucket::Refill(double rate_per_s, Instant now) {
  const double added = rate_per_s * Seconds(now - refilled_at_);
  tokens_ = std::min(tokens_ + added, 1 + rate_per_s * kBurstS);
  refilled_at_ = now;
}

Duration TokenBucket::TimeToToken(double rate_per_s) const {
  if (has_token()) {
    return Duration(0);
  }
  const double max_s = Seconds(Duration::max());
  const double wait_s = (1 - tokens_) / rate_per_s;
  return rate_per_s <= 0 || wait_s >= max_s
             ? Duration::max()
             : std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(wait_s));
}

}  // namespace heathersteer
