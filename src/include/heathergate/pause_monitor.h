#ifndef HEATHERGATE_PAUSE_MONITOR_H_
#define HEATHERGATE_PAUSE_MONITOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/pause_detector.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// Functions that a PauseMonitor calls.
struct PauseListener {
  /// Called in an iteration of the event loop of its own, after a pause.
  std::function<void()> on_pause;
  /// Called when the hold after a pause has ended.
  std::function<void()> on_hold_ended;
};

/// Notices pauses of the event loop, as the process or its machine stood still.
/// After a pause, requests are on hold until newer state than the pause is
/// known, or for a bounded time.
class PauseMonitor {
 public:
  explicit PauseMonitor(heathernet::EventLoop& loop);

  void AddListener(PauseListener listener);

  /// To be called by a timer every kTickInterval, and before the first Check().
  void Tick();

  /// To be called wherever the loop may go on after a pause, before anything
  /// that was known earlier is used.
  void Check();

  /// Whether requests are on hold.
  bool on_hold() const { return on_hold_; }

  /// Ends the hold, as state that is newer than the pause is known.
  void OnStateRefreshed();

  /// Whether a hold has ended without newer state, and none is known since.
  /// Ends by itself after some time.
  bool state_uncertain() const;

  /// Begin and end of the last pause; 0 before the first one. The loop may have
  /// gone on for up to kTickInterval after the begin.
  heatherlever::Instant began_at() const { return detector_.began_at(); }
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
  void OnHoldExpired();
  void EndHold(const char* reason);

  heathernet::EventLoop& loop_;
  heathersteer::PauseDetector detector_;
  std::vector<PauseListener> listeners_;
  Timer hold_timer_;
  bool on_hold_ = false;
  heatherlever::Instant uncertain_until_{0};
  bool ticking_ = false;
  std::uint64_t pauses_ = 0;
  heatherlever::Duration paused_time_{0};
};

}  // namespace heathergate

#endif  // HEATHERGATE_PAUSE_MONITOR_H_
