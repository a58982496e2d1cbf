#ifndef HEATHERGATE_PAUSE_MONITOR_H_
#define HEATHERGATE_PAUSE_MONITOR_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "heatherlever/instant.h"
#include "heathersteer/pause_detector.h"

namespace heathergate {

/// Notices pauses of the event loop, as the process or its machine stood still.
class PauseMonitor {
 public:
  PauseMonitor();

  /// To be called by a timer every kTickInterval, and before the first Check().
  void Tick();

  /// To be called wherever the loop may go on after a pause, before anything
  /// that was known earlier is used.
  void Check();

  /// End of the last pause; 0 before the first one.
  heatherlever::Instant ended_at() const { return detector_.ended_at(); }

  /// Returns when bytes arrived that are read now. `time_since_input` is only
  /// called if they may have waited during a pause; it returns the time since
  /// they arrived, if that is known.
  heatherlever::Instant ArrivalTime(
      const std::function<std::optional<heatherlever::Duration>()>&
          time_since_input);

  /// Number of pauses since the start, and the time of all together.
  std::uint64_t pauses() const { return pauses_; }
  heatherlever::Duration paused_time() const { return paused_time_; }

  static constexpr heatherlever::Duration kTickInterval =
      std::chrono::milliseconds(150);

 private:
  heathersteer::PauseDetector detector_;
  bool ticking_ = false;
  std::uint64_t pauses_ = 0;
  heatherlever::Duration paused_time_{0};
};

}  // namespace heathergate

#endif  // HEATHERGATE_PAUSE_MONITOR_H_
