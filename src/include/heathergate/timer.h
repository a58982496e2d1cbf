#ifndef HEATHERGATE_TIMER_H_
#define HEATHERGATE_TIMER_H_

#include <functional>
#include <memory>

#include "heatherlever/instant.h"

namespace heathergate {

class EventLoop;

/// Runs one function after a time. Destruction or a new start cancels it.
class Timer {
 public:
  explicit Timer(EventLoop& loop);
  ~Timer();

  void Start(heatherlever::Duration delay, std::function<void()> function);
  void Cancel();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_TIMER_H_
