#ifndef HEATHERSTEER_PAUSE_DETECTOR_H_
#define HEATHERSTEER_PAUSE_DETECTOR_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Notices that an event loop with a periodic timer did not run for a while, as
/// its process or its machine stood still.
class PauseDetector {
 public:
  /// `threshold` is the shortest time without an observation that is a pause.
  explicit PauseDetector(heatherlever::Duration threshold)
      : threshold_(threshold) {}

  /// Records that the loop runs at `now`. Returns whether a pause has ended.
  bool Observe(heatherlever::Instant now);

  /// Begin and end of the last pause; 0 before the first one. The loop may have
  /// gone on for an interval of its timer after the begin.
  heatherlever::Instant began_at() const { return began_at_; }
  heatherlever::Instant ended_at() const { return ended_at_; }

  heatherlever::Duration length() const { return ended_at_ - began_at_; }

 private:
  heatherlever::Duration threshold_;
  std::optional<heatherlever::Instant> last_;
  heatherlever::Instant began_at_{0};
  heatherlever::Instant ended_at_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PAUSE_DETECTOR_H_
