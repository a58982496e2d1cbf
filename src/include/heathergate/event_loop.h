#ifndef HEATHERGATE_EVENT_LOOP_H_
#define HEATHERGATE_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "heatherlever/instant.h"

namespace asio {
class io_context;
}

namespace heathergate {

class Timer;

/// The single thread on which everything in a process runs.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Time since the machine started, including time spent suspended.
  static heatherlever::Instant Now();

  asio::io_context& context() { return *context_; }

  /// Runs until Stop().
  void Run();
  void Stop();

 private:
  std::unique_ptr<asio::io_context> context_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_EVENT_LOOP_H_
