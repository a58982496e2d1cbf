#include "heathergate/pause_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "heathernet/event_loop.h"
#include "heathersteer/milliseconds.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;

// Allowance for late ticks on a busy machine.
constexpr Duration kTickSlack = std::chrono::milliseconds(200);
// Maximum time for which requests are on hold: a few round trips to the host
// that is followed or to the store, and a host that is followed may have to go
// on first. Also limits the harm of an unreachable store.
constexpr Duration kMaxHold = std::chrono::milliseconds(400);
// Pauses from this length on begin a hold anew.
constexpr Duration kLongPause = std::chrono::seconds(1);
// Time after a hold in which the state counts as uncertain if none arrives: the
// store may be away for long, and servers take more than their cold rate.
constexpr Duration kMaxUncertainTime = std::chrono::seconds(2);
// Time after a pause in which what arrived during the pause is still read.
constexpr Duration kBacklogTime = std::chrono::seconds(1);

}  // namespace

PauseMonitor::PauseMonitor(EventLoop& loop)
    : loop_(loop), detector_(kTickInterval + kTickSlack), hold_timer_(loop) {}

void PauseMonitor::AddListener(PauseListener listener) {
  listeners_.push_back(std::move(listener));
}

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
  // A host whose loop is always late would otherwise never send again.
  if (!std::exchange(on_hold_, true) || detector_.length() >= kLongPause) {
    hold_timer_.Start(kMaxHold, [this] { OnHoldExpired(); });
  }
  // The caller may be about to use the calls that the listeners replace.
  loop_.Post([this] {
    for (const PauseListener& listener : listeners_) {
      listener.on_pause();
    }
  });
}

bool PauseMonitor::state_uncertain() const {
  return EventLoop::Now() < uncertain_until_;
}

void PauseMonitor::OnHoldExpired() {
  uncertain_until_ = EventLoop::Now() + kMaxUncertainTime;
  EndHold("no newer state in time");
}

void PauseMonitor::OnStateRefreshed() {
  uncertain_until_ = Instant(0);
  if (on_hold_) {
    EndHold("newer state is known");
  }
}

void PauseMonitor::EndHold(const char* reason) {
  on_hold_ = false;
  hold_timer_.Cancel();
  spdlog::info("requests are sent again {} ms after the pause: {}",
               heathersteer::Milliseconds(EventLoop::Now() - ended_at()),
               reason);
  for (const PauseListener& listener : listeners_) {
    listener.on_hold_ended();
  }
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
