#include "heathergate/event_loop.h"

#include <time.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

namespace heathergate {

EventLoop::EventLoop() : context_(std::make_unique<asio::io_context>(1)) {}

EventLoop::~EventLoop() = default;

heatherlever::Instant EventLoop::Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<heatherlever::Instant>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

void EventLoop::Run() {
  auto guard = asio::make_work_guard(*context_);
  context_->run();
}

void EventLoop::Stop() {
  context_->stop();
}

}  // namespace heathergate
