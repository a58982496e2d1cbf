#ifndef HEATHERLEVER_SHIFT_CAP_H_
#define HEATHERLEVER_SHIFT_CAP_H_

#include <cstdint>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Limits the share of requests that one host sends outside their home region,
/// by exact counting from the start of fixed windows: a request is moved only
/// if moved + 1 <= share * (total + 1). As this holds at every host after each
/// request, it holds for the sum over hosts without any coordination.
///
/// The total counts every request that was placed or refused.
class ShiftCap {
 public:
  /// A cap of `share` of the requests, from 0 to 1 (values outside are
  /// clamped), counted over windows of `window`.
  ShiftCap(double share, Duration window);

  /// Whether the next request may be moved.
  bool MayMove(Instant now) const;

  /// Counts a request that was not moved.
  void CountUnmoved(Instant now);

  /// Counts a request as moved and returns true if the cap allows it;
  /// otherwise counts nothing and returns false.
  bool TryMove(Instant now);

  /// Sets another share. A new window starts, so that the new share holds for
  /// every request from here on.
  void ChangeShare(double share, Instant now);

  /// Time until the counts start again from zero.
  Duration UntilNextWindow(Instant now) const;

  double share() const;
  /// Requests moved in the window of the last count.
  std::uint64_t moved() const { return moved_; }
  /// Requests counted in the window of the last count, moved ones included.
  std::uint64_t total() const { return total_; }

 private:
  bool InWindow(Instant now) const;
  void Roll(Instant now);

  // The share in parts of kSharePartsPerUnit, rounded down: the comparison is
  // in whole numbers and so exact.
  std::uint64_t share_parts_;
  Duration window_;
  Instant window_start_{0};
  std::uint64_t moved_ = 0;
  std::uint64_t total_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_SHIFT_CAP_H_
