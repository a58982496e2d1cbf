#include "libheathergate/startup_queue.h"

#include <utility>

#include "heathergate/http_exchange.h"
#include "heathernet/event_loop.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;

// Requests kept at a time; some hundred milliseconds of a busy host's.
constexpr std::size_t kMaxQueued = 500;

}  // namespace

StartupQueue::StartupQueue(EventLoop& loop, Duration longest, Expired expired)
    : max_wait_(longest), expired_(std::move(expired)), timer_(loop) {}

void StartupQueue::Add(const std::shared_ptr<HttpExchange>& exchange) {
  if (waiting_.size() >= kMaxQueued) {
    expired_(exchange);
    return;
  }
  waiting_.push_back(exchange);
  if (waiting_.size() == 1) {
    StartTimer();
  }
}

std::vector<std::shared_ptr<HttpExchange>> StartupQueue::TakeAll() {
  timer_.Cancel();
  const auto taken = std::exchange(waiting_, {});
  return {taken.begin(), taken.end()};
}

void StartupQueue::StartTimer() {
  const Instant due = waiting_.front()->received() + max_wait_;
  timer_.Start(due - EventLoop::Now(), [this] { OnTimer(); });
}

void StartupQueue::OnTimer() {
  const Instant now = EventLoop::Now();
  while (!waiting_.empty() && now - waiting_.front()->received() >= max_wait_) {
    const auto exchange = waiting_.front();
    waiting_.pop_front();
    expired_(exchange);
  }
  if (!waiting_.empty()) {
    StartTimer();
  }
}

}  // namespace heathergate
