#ifndef HEATHERSTEER_SERVER_RATE_LIMIT_H_
#define HEATHERSTEER_SERVER_RATE_LIMIT_H_

#include "heatherlever/instant.h"
#include "heathersteer/token_bucket.h"

namespace heathersteer {

/// The request rate that a backend server accepts from all hosts together, as
/// the server last stated it, and this host's part of it.
class ServerRateLimit {
 public:
  /// Records the limit in requests/s that a response stated; 0 if it stated
  /// none. Returns whether the limit has changed; observations that are not
  /// newer than the last one are ignored.
  bool Observe(double requests_per_s, heatherlever::Instant observed_at);

  /// Limit in requests/s; 0 if there is none.
  double limit() const { return limit_; }

  heatherlever::Instant observed_at() const { return observed_at_; }

  /// Time until this host may send a request; 0 without a limit. `host_count`
  /// hosts share the limit. `phase` in [0, 1) is this host's part of a token
  /// when the limit becomes known, so that the hosts do not send together.
  heatherlever::Duration TimeToSend(heatherlever::Instant now,
                                    int host_count,
                                    double phase);

  /// Counts a request that is sent.
  void Take();

 private:
  double limit_ = 0;
  heatherlever::Instant observed_at_{0};
  TokenBucket bucket_;
  bool bucket_started_ = false;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_RATE_LIMIT_H_
