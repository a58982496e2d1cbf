#include "heathergate/pause_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "heathernet/event_loop.h"
#include "heathersteer/milliseconds.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;

// Allowance for late ticks on a busy machine.
constexpr Duration kTickSlack = std::chrono::milliseconds(200);
// Time after a pause in which what arrived during the pause is still read.
constexpr Duration kBacklogTime = std::chrono::seconds(1);

}  // namespace

PauseMonitor::PauseMonitor() : detector_(kTickInterval + kTickSlack) {}

void PauseMonitor::Tick() {
  ticking_ = true;
  Check();
}

void PauseMonitor::Check() {
  if (!ticking_ || !detector_.Observe(EventLoop::Now())) {
    return;
  }
  ++pauses_;
  paused_time_ += detector_.length();
  spdlog::warn("the event loop did not run for {} ms",
               heathersteer::Milliseconds(detector_.length()));
}

Instant PauseMonitor::ArrivalTime(
    const std::function<std::optional<Duration>()>& time_since_input) {
  Check();
  const Instant now = EventLoop::Now();
  if (pauses_ == 0 || now - detector_.ended_at() > kBacklogTime) {
    return now;
  }
  const Duration waited = time_since_input().value_or(Duration(0));
  return std::clamp(now - waited, detector_.began_at(), now);
}

}  // namespace heathergate
