#ifndef HEATHERSTEER_OVERLOAD_THROTTLE_H_
#define HEATHERSTEER_OVERLOAD_THROTTLE_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Adaptive throttling of a route's requests at one host. Load pattern: servers
/// full of work that ends at its deadline serve hardly anything, keep no object
/// warm, and stay so although the load would fit; no answer tells their load.
/// The share of requests that fail for want of time is known at each host by
/// itself, so while less than a part of them is served, the rest is rejected
/// before it is sent.
class OverloadThrottle {
 public:
  /// A request was served.
  void RecordServed(heatherlever::Instant now);

  /// A request ran out of time at a server.
  void RecordTimeout(heatherlever::Instant now);

  /// Whether the next request is to be rejected; `random` is between 0 and 1.
  /// Counts one that is.
  bool ShouldReject(heatherlever::Instant now, double random);

 private:
  void Decay(heatherlever::Instant now);

  // Requests that ended lately, and those of them that were served.
  double ended_ = 0;
  double served_ = 0;
  heatherlever::Instant decayed_at_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_OVERLOAD_THROTTLE_H_
