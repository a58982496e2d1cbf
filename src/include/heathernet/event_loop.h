#ifndef HEATHERNET_EVENT_LOOP_H_
#define HEATHERNET_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "heatherlever/instant.h"
#include "heathernet/timer_handle.h"

namespace heathernet {

/// The single thread on which sockets, timers and decision objects of a process
/// run. The thread that calls Run() is the loop thread.
class EventLoop {
 public:
  class Impl;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Time since the machine started, including time spent suspended. Callable
  /// from any thread.
  static heatherlever::Instant Now();

  /// Runs `function` on the loop thread, after the current one. Callable from
  /// any thread, before and during Run().
  void Post(std::function<void()> function);

  /// Runs `function` on the loop thread once `delay` has passed. Called on the
  /// loop thread, or before Run().
  TimerHandle After(heatherlever::Duration delay,
                    std::function<void()> function);

  /// Runs until Stop(). An exception thrown by a function leaves Run().
  void Run();

  /// Makes Run() return soon. Callable from any thread.
  void Stop();

  /// For the sources of heathernet, which share the loop with their sockets.
  const std::shared_ptr<Impl>& impl() const { return impl_; }

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace heathernet

#endif  // HEATHERNET_EVENT_LOOP_H_
