#ifndef HEATHERNET_SIGNAL_WAITER_H_
#define HEATHERNET_SIGNAL_WAITER_H_

#include <functional>
#include <thread>

namespace heathernet {

/// Runs a function once when the process gets SIGTERM or SIGINT. To be created
/// before any other thread, as threads inherit the blocked signals.
class SignalWaiter {
 public:
  /// `on_signal` runs on the waiter's own thread.
  explicit SignalWaiter(std::function<void()> on_signal);

  /// Ends the waiting without a signal.
  ~SignalWaiter();

  SignalWaiter(const SignalWaiter&) = delete;
  SignalWaiter& operator=(const SignalWaiter&) = delete;

 private:
  std::thread thread_;
};

}  // namespace heathernet

#endif  // HEATHERNET_SIGNAL_WAITER_H_
