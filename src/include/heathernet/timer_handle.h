#ifndef HEATHERNET_TIMER_HANDLE_H_
#define HEATHERNET_TIMER_HANDLE_H_

#include <memory>

namespace heathernet {

/// A timer started by EventLoop::After. Copies refer to the same timer, and a
/// dropped handle leaves it running. Used on the loop thread only.
class TimerHandle {
 public:
  struct State;

  /// A handle of no timer.
  TimerHandle() = default;
  explicit TimerHandle(std::shared_ptr<State> state);

  /// Stops the timer; its function never runs afterwards. No effect on a timer
  /// that has fired.
  void Cancel();

  /// True until the timer has fired or was cancelled.
  bool pending() const;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace heathernet

#endif  // HEATHERNET_TIMER_HANDLE_H_
