#ifndef HEATHERSTEER_SHIFT_LIMITER_H_
#define HEATHERSTEER_SHIFT_LIMITER_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Limits how fast the share of a host's requests that are shifted for lack of
/// capacity changes. Otherwise the start or end of a burst that fills the
/// region's servers would move a large part of all requests within a second,
/// and change the caches of other regions. The share follows the demand at a
/// bounded rate; while servers of the region are impaired it follows at once.
class ShiftLimiter {
 public:
  /// Default of the maximum change of the share from one span of two seconds to
  /// the next.
  static constexpr double kDefaultMaxChange = 0.15;

  ShiftLimiter() : ShiftLimiter(kDefaultMaxChange) {}

  /// `max_change`: 0 to 1, as kDefaultMaxChange.
  explicit ShiftLimiter(double max_change);

  /// Records whether a new request would be shifted by free capacity alone. To
  /// be called once for each request.
  void Observe(bool would_shift, heatherlever::Instant now);

  /// Whether the next request may be shifted.
  bool MayShift(heatherlever::Instant now) const;

  /// Whether to shift the next request although the region has free capacity.
  bool ShouldShift(heatherlever::Instant now) const;

  /// Counts a request that is sent.
  void Sent(bool shifted, heatherlever::Instant now);

  /// Records that servers of the region are impaired.
  void MarkImpaired(heatherlever::Instant now);

 private:
  bool IsLimiting(heatherlever::Instant now) const;

  // Maximum change of the share per second.
  double max_change_per_second_;
  // Moving average of the share that would be shifted.
  double demand_ = 0;
  // Share of requests that may be shifted now.
  double allowed_share_ = 0;
  // Allowed minus actually shifted requests; negative if too many were shifted.
  double tokens_ = 0;
  std::optional<heatherlever::Instant> last_observed_;
  heatherlever::Instant unlimited_until_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SHIFT_LIMITER_H_
