#include "heathergate/timer.h"

#include <utility>

#include "heathernet/event_loop.h"

namespace heathergate {

// Cancelling a wait of Asio's timers does not fail.
// NOLINTNEXTLINE(bugprone-exception-escape)
Timer::~Timer() {
  Cancel();
}

void Timer::Start(heatherlever::Duration delay,
                  std::function<void()> function) {
  Cancel();
  handle_ = loop_.After(delay, std::move(function));
}

void Timer::Cancel() {
  handle_.Cancel();
}

}  // namespace heathergate
