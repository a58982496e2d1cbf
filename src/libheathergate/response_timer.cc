#include "heathergate/response_timer.h"

#include <chrono>
#include <utility>

#include "heathergate/http_call.h"

namespace heathergate {
namespace {

using heatherlever::Duration;

// Interval in which at least kMinProgressBytes of a response have to arrive. It
// covers two retransmissions in a row.
constexpr Duration kProgressInterval = std::chrono::milliseconds(1000);
// A peer that sends less is treated as unresponsive.
constexpr std::uint64_t kMinProgressBytes = 4096;

}  // namespace

void ResponseTimer::Start(std::shared_ptr<HttpCall> call,
                          Duration timeout,
                          std::function<void()> on_expired) {
  Cancel();
  if (!call->active()) {
    return;
  }
  call_ = std::move(call);
  on_expired_ = std::move(on_expired);
  received_bytes_ = 0;
  StartTimer(timeout);
}

void ResponseTimer::Cancel() {
  timer_.Cancel();
  call_ = nullptr;
  on_expired_ = nullptr;
}

void ResponseTimer::StartTimer(Duration delay) {
  timer_.Start(delay, [this] { OnExpired(); });
}

void ResponseTimer::OnExpired() {
  const std::uint64_t received = call_->received_bytes();
  if (received >= received_bytes_ + kMinProgressBytes) {
    received_bytes_ = received;
    StartTimer(kProgressInterval);
    return;
  }
  const auto on_expired = std::exchange(on_expired_, nullptr);
  call_ = nullptr;
  on_expired();
}

}  // namespace heathergate
