#ifndef HEATHERSTEER_OVERLOAD_THROTTLE_H_
#define HEATHERSTEER_OVERLOAD_THROTTLE_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Adaptive throttling of a route's requests at one host. Servers that are full
/// of requests which time out serve hardly anything and keep no object warm;
/// they stay overloaded although they could bear the load, and no response
/// reports it. Each host knows its own share of timeouts. While too few
/// requests are served, it rejects the excess before sending it.
class OverloadThrottle {
 public:
  /// Records a request that was served.
  void RecordServed(heatherlever::Instant now);

  /// Records a request that timed out at a server.
  void RecordTimeout(heatherlever::Instant now);

  /// Whether to reject the next request; `random` is in [0, 1). A rejected
  /// request is counted.
  bool ShouldReject(heatherlever::Instant now, double random);

 private:
  void Decay(heatherlever::Instant now);

  // Recently ended requests and those of them that were served, with
  // exponential decay.
  double ended_ = 0;
  double served_ = 0;
  heatherlever::Instant decayed_at_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_OVERLOAD_THROTTLE_H_
