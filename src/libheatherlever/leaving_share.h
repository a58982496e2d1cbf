#ifndef HEATHERLEVER_LEAVING_SHARE_H_
#define HEATHERLEVER_LEAVING_SHARE_H_

#include <cstdint>

#include "heatherlever/instant.h"

namespace heatherlever {

/// The share of a flow of requests that is to leave its home region. It rises
/// at once with its target and falls slowly, so that a home region that serves
/// again gets its traffic back bit by bit. Which requests leave follows from
/// the share by exact counting, not by chance.
class LeavingShare {
 public:
  /// `return_ramp` is the time in which the share falls from 1 to 0; 0 for
  /// at once.
  explicit LeavingShare(Duration return_ramp);

  /// Sets the target, from 0 to 1. The last target holds until then.
  void SetTarget(double target, Instant now);

  double ValueAt(Instant now) const;

  /// Whether the value is above the target, as traffic is still returning.
  bool IsReturning(Instant now) const;

  /// Whether the next request is to leave.
  bool NextLeaves(Instant now) const;

  /// Counts a request and returns whether it is to leave.
  bool CountNext(Instant now);

 private:
  std::int64_t PartsAt(Instant now) const;

  Duration return_ramp_;
  double target_ = 0;
  double value_ = 0;
  Instant updated_{0};
  // Sum of the shares of the requests so far, less those that left, in parts
  // of kPartsPerRequest.
  std::int64_t owed_parts_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LEAVING_SHARE_H_
