#ifndef HEATHERSTEER_RATE_METER_H_
#define HEATHERSTEER_RATE_METER_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Estimates the rate of events over the last seconds, with exponential decay.
class RateMeter {
 public:
  void Count(heatherlever::Instant now);

  /// Events/s.
  double rate_per_s(heatherlever::Instant now) const;

 private:
  double events_ = 0;
  heatherlever::Instant counted_at_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_RATE_METER_H_
