#include "heathersteer/server_rate_limit.h"

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time after which a limit that no response confirms is dropped. The limit lets
// some requests through, so a server that is in use confirms it sooner.
constexpr Duration kUnconfirmedTimeout = std::chrono::seconds(10);

}  // namespace

bool ServerRateLimit::Observe(double requests_per_s, Instant observed_at) {
  if (observed_at <= observed_at_) {
    return false;
  }
  const bool changed = requests_per_s != limit(observed_at);
  limit_ = requests_per_s;
  observed_at_ = observed_at;
  return changed;
}

double ServerRateLimit::limit(Instant now) const {
  return now - observed_at_ > kUnconfirmedTimeout ? 0 : limit_;
}

}  // namespace heathersteer
