#ifndef HEATHERSTEER_SHIFT_LIMITER_H_
#define HEATHERSTEER_SHIFT_LIMITER_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Paces the share of a host's requests that leave its region for want of room.
/// A flood that fills the region's servers, or its end, would otherwise move a
/// large part of all requests within a second, and the caches of other regions
/// with them. The share follows the demand at a bounded rate. While servers of
/// the region are impaired it follows at once.
class ShiftLimiter {
 public:
  /// Change of the share that operators allow from one span of two seconds to
  /// the next, where nothing else is stated.
  static constexpr double kDefaultMaxChange = 0.15;

  ShiftLimiter() : ShiftLimiter(kDefaultMaxChange) {}

  /// `most_change`: 0 to 1, as kDefaultMostChange.
  explicit ShiftLimiter(double most_change);

  /// A new request would run in another region (`leaves`) or in the own one by
  /// room alone. Called once a request.
  void Observe(bool leaves, heatherlever::Instant now);

  /// Whether the next request may leave the region.
  bool MayShift(heatherlever::Instant now) const;

  /// Whether the next request is to leave the region though it has room.
  bool ShouldShift(heatherlever::Instant now) const;

  /// Counts a request that is sent.
  void Sent(bool leaves, heatherlever::Instant now);

  /// Servers of the region are impaired.
  void MarkImpaired(heatherlever::Instant now);

 private:
  bool IsLimiting(heatherlever::Instant now) const;

  // Largest change of the share in a second.
  double max_change_per_second_;
  // Mean of the demand.
  double demand_ = 0;
  // Share of requests that may leave now.
  double allowed_share_ = 0;
  // Requests that may leave, beyond those that have left; negative if more did.
  double tokens_ = 0;
  std::optional<heatherlever::Instant> last_observed_;
  heatherlever::Instant unlimited_until_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SHIFT_LIMITER_H_
