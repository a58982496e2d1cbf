#include "heathernet/event_loop.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <utility>

#include "boot_clock.h"
#include "event_loop_impl.h"

namespace heathernet {

namespace {

using BootTimer = asio::basic_waitable_timer<BootClock, BootWaitTraits>;

}  // namespace

struct TimerHandle::State {
  // Owned by its pending wait, so that it goes with the loop at the latest.
  std::weak_ptr<BootTimer> timer;
  // Empty once the timer has fired or was cancelled.
  std::function<void()> function;
};

TimerHandle::TimerHandle(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

void TimerHandle::Cancel() {
  if (!pending()) {
    return;
  }
  state_->function = nullptr;
  if (const auto timer = state_->timer.lock()) {
    timer->cancel();
  }
}

bool TimerHandle::pending() const {
  return state_ && state_->function;
}

EventLoop::EventLoop() : impl_(std::make_shared<Impl>()) {}

EventLoop::~EventLoop() = default;

heatherlever::Instant EventLoop::Now() {
  return BootClock::now().time_since_epoch();
}

void EventLoop::Post(std::function<void()> function) {
  asio::post(impl_->context, std::move(function));
}

TimerHandle EventLoop::After(heatherlever::Duration delay,
                             std::function<void()> function) {
  auto timer = std::make_shared<BootTimer>(impl_->context, delay);
  auto state = std::make_shared<TimerHandle::State>();
  state->timer = timer;
  state->function = std::move(function);
  // The wait ends with an error only on Cancel(), which empties the function.
  timer->async_wait([timer, state](const std::error_code&) {
    if (auto due = std::exchange(state->function, nullptr)) {
      due();
    }
  });
  return TimerHandle(std::move(state));
}

void EventLoop::Run() {
  const auto work = asio::make_work_guard(impl_->context);
  impl_->context.run();
  // A later Run() needs this; done first, it would undo an early Stop().
  impl_->context.restart();
}

void EventLoop::Stop() {
  impl_->context.stop();
}

}  // namespace heathernet
