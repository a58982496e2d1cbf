#ifndef HEATHERSTEER_TOKEN_PACE_H_
#define HEATHERSTEER_TOKEN_PACE_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Lets events through at a rate, one at a time: a pause of 1 / rate after
/// each.
class TokenPace {
 public:
  bool Ready(heatherlever::Instant now) const { return now >= next_; }

  /// Counts an event; `per_s` above 0.
  void Take(heatherlever::Instant now, double per_s);

  /// No event before `instant`.
  void HoldUntil(heatherlever::Instant instant) { next_ = instant; }

 private:
  heatherlever::Instant next_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_TOKEN_PACE_H_
