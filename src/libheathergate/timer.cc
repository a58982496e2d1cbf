#include "heathergate/timer.h"

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

#include "heathergate/event_loop.h"

namespace heathergate {

struct Timer::Impl {
  explicit Impl(EventLoop& loop) : timer(loop.context()) {}
  asio::steady_timer timer;
  std::function<void()> function;
  // Distinguishes starts: an expired wait may be queued while a new one begins.
  std::uint64_t start = 0;
};

Timer::Timer(EventLoop& loop) : impl_(std::make_shared<Impl>(loop)) {}

Timer::~Timer() {
  // The wait itself ends with the timer's last reference and finds its start
  // outdated; cancelling it here could throw.
  ++impl_->start;
  impl_->function = nullptr;
}

void Timer::Start(heatherlever::Duration delay,
                  std::function<void()> function) {
  impl_->function = std::move(function);
  const std::uint64_t start = ++impl_->start;
  impl_->timer.expires_after(delay);
  impl_->timer.async_wait([impl = impl_, start](std::error_code error) {
    if (error || impl->start != start) {
      return;
    }
    const auto run = std::exchange(impl->function, nullptr);
    run();
  });
}

void Timer::Cancel() {
  ++impl_->start;
  impl_->function = nullptr;
  impl_->timer.cancel();
}

}  // namespace heathergate
