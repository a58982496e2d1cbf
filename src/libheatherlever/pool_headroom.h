#ifndef HEATHERLEVER_POOL_HEADROOM_H_
#define HEATHERLEVER_POOL_HEADROOM_H_

#include <optional>

#include "heatherlever/headroom_report.h"
#include "heatherlever/instant.h"

namespace heatherlever {

struct PlacementOptions;

/// Number of concurrent requests that one host may have in a pool of another
/// region: the limit granted by the pool's owner, or an equal part of the free
/// slots. It is reduced as the summary ages and while the pool's caches are
/// cold.
class PoolHeadroom {
 public:
  void OnSummary(const HeadroomReport& summary, Instant now);

  /// Whether there is a summary younger than the stale age.
  bool HasSummary(const PlacementOptions& options, Instant now) const;

  /// Requests that may be sent now, in addition to those in flight.
  int Available(const PlacementOptions& options, Instant now) const;

  void OnMoved(const PlacementOptions& options, Instant now);
  void OnMoveDone();

  int in_flight() const { return in_flight_; }

 private:
  // The limit by the summary alone, without regard to its age and the ramp.
  int SummaryLimit(const PlacementOptions& options) const;
  // From 1 for a fresh summary to 0 for a stale one.
  double AgeWeight(const PlacementOptions& options, Instant now) const;
  // From kColdShare to 1.
  double RampShare(const PlacementOptions& options, Instant now) const;
  bool IsCold(const PlacementOptions& options, Instant now) const;

  std::optional<HeadroomReport> summary_;
  Instant measured_at_{0};
  int in_flight_ = 0;
  // Requests in flight at the last summary, and those of them that already held
  // slots when it was measured.
  int in_flight_at_report_ = 0;
  int in_flight_in_report_ = 0;
  // Start of the current series of moves, and its last move.
  std::optional<Instant> ramp_start_;
  Instant last_move_{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_HEADROOM_H_
