#include "heathergate/timer.h"

#include <utility>

#include "heathernet/event_loop.h"

namespace heathergate {

// Cancelling an Asio timer does not throw.
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
