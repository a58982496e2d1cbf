#ifndef HEATHERNET_RATE_BUDGET_H_
#define HEATHERNET_RATE_BUDGET_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heathernet {

/// A token bucket that hands out tokens ahead of time: a caller waits until
/// its token is there. Over any span of T seconds at most burst + rate * T
/// tokens become usable.
class RateBudget {
 public:
  /// `tokens_per_second` is positive, `burst` at least 1.
  RateBudget(double tokens_per_second, double burst);

  /// Takes a token and returns how long to wait before it may be used. Takes
  /// none and returns nothing if that is longer than `longest_wait`. Instants
  /// do not decrease from call to call.
  std::optional<heatherlever::Duration> Take(
      heatherlever::Instant now,
      heatherlever::Duration longest_wait);

 private:
  double tokens_per_second_;
  double burst_;
  /// Negative while tokens are handed out ahead of time.
  double tokens_;
  heatherlever::Instant updated_{0};
};

}  // namespace heathernet

#endif  // HEATHERNET_RATE_BUDGET_H_
