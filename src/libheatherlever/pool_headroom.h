#ifndef HEATHERLEVER_POOL_HEADROOM_H_
#define HEATHERLEVER_POOL_HEADROOM_H_

#include <optional>

#include "heatherlever/headroom_report.h"
#include "heatherlever/instant.h"

namespace heatherlever {

struct PlacementOptions;

/// How many requests one host may have at the same time in a pool of another
/// region: what the pool's owner lends it, or an equal part of the free slots,
/// less as the summary grows old and while the pool's caches are cold.
class PoolHeadroom {
 public:
  void OnSummary(const HeadroomReport& summary, Instant now);

  /// Whether there is a summary younger than the stale age.
  bool HasSummary(const PlacementOptions& options, Instant now) const;

  /// Requests that may be sent now, beside those in flight.
  int Available(const PlacementOptions& options, Instant now) const;

  void OnMoved(const PlacementOptions& options, Instant now);
  void OnMoveDone();

  int in_flight() const { return in_flight_; }

 private:
  // What the summary alone allows.
  int SummaryLimit(const PlacementOptions& options) const;
  // From 1 for a fresh summary to 0 for a stale one.
  double AgeWeight(const PlacementOptions& options, Instant now) const;
  // From kColdShare to 1.
  double RampShare(const PlacementOptions& options, Instant now) const;
  bool IsCold(const PlacementOptions& options, Instant now) const;

  std::optional<HeadroomReport> summary_;
  Instant measured_at_{0};
  int in_flight_ = 0;
  // Requests in flight at the last report, and those of them that the report
  // saw in slots.
  int in_flight_at_report_ = 0;
  int in_flight_in_report_ = 0;
  // When the present series of moves started, and its last move.
  std::optional<Instant> ramp_start_;
  Instant last_move_{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_HEADROOM_H_
