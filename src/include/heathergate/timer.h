#ifndef HEATHERGATE_TIMER_H_
#define HEATHERGATE_TIMER_H_

#include <functional>

#include "heatherlever/instant.h"
#include "heathernet/timer_handle.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// One-shot timer. Destruction or a new Start() cancels a pending run.
class Timer {
 public:
  explicit Timer(heathernet::EventLoop& loop) : loop_(loop) {}
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(heatherlever::Duration delay, std::function<void()> function);
  void Cancel();

 private:
  heathernet::EventLoop& loop_;
  heathernet::TimerHandle handle_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_TIMER_H_
