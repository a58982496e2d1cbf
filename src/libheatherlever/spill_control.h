#ifndef HEATHERLEVER_SPILL_CONTROL_H_
#define HEATHERLEVER_SPILL_CONTROL_H_

#include <optional>

#include "heatherlever/headroom_report.h"
#include "heatherlever/instant.h"

namespace heatherlever {

/// Controls the share of a pool's home traffic that is sent to other regions
/// because the pool is full. The share rises while the smoothed pressure
/// (requests running and queued, divided by the usable slots) is above one
/// threshold, falls more slowly below a lower one, and is constant in between,
/// so that traffic does not oscillate.
class SpillControl {
 public:
  void OnSummary(const HeadroomReport& summary, Instant now);

  /// From 0 to 1.
  double share() const { return share_; }

  /// Smoothed pressure; 1 means that every slot runs a request and none waits.
  double pressure() const { return pressure_; }

 private:
  std::optional<Instant> measured_at_;
  double pressure_ = 0;
  double share_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_SPILL_CONTROL_H_
