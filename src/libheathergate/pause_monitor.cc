#include "heathergate/pause_monitor.h"

#include <spdlog/spdlog.h>

#include "heathernet/event_loop.h"
#include "heathersteer/milliseconds.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heathernet::EventLoop;

// Allowance for late ticks on a busy machine.
constexpr Duration kTickSlack = std::chrono::milliseconds(200);

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

}  // namespace heathergate
