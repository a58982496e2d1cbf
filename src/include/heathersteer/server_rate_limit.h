#ifndef HEATHERSTEER_SERVER_RATE_LIMIT_H_
#define HEATHERSTEER_SERVER_RATE_LIMIT_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// The request rate that a backend server accepts from all hosts together, as
/// the server last stated it.
class ServerRateLimit {
 public:
  /// Records the limit in requests/s that a response stated; 0 if it stated
  /// none. Returns whether the limit has changed; observations that are not
  /// newer than the last one are ignored.
  bool Observe(double requests_per_s, heatherlever::Instant observed_at);

  /// Limit in requests/s; 0 if there is none, or if it was not confirmed for
  /// some seconds.
  double limit(heatherlever::Instant now) const;

  heatherlever::Instant observed_at() const { return observed_at_; }

 private:
  double limit_ = 0;
  heatherlever::Instant observed_at_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_RATE_LIMIT_H_
