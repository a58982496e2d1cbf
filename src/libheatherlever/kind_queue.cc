#include "kind_queue.h"

#include <utility>

namespace heatherlever {
namespace {

constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(20);
constexpr int kServiceSmoothing = 64;
constexpr Duration kOccupancyWindow = std::chrono::milliseconds(200);

}  // namespace

KindQueue::KindQueue(std::string name, Duration service_time)
    : name_(std::move(name)),
      service_time_(service_time > Duration(0) ? service_time
                                               : kDefaultServiceTime) {}

void KindQueue::OnDispatch(Instant now) {
  UpdateOccupancy(now);
  ++in_flight_;
  floor.Charge(service_time_);
}

void KindQueue::OnRelease(Duration held, Instant now) {
  UpdateOccupancy(now);
  --in_flight_;
  floor.Charge(held - service_time_);
}

void KindQueue::OnResponse(Duration latency) {
  service_time_ += (latency - service_time_) / kServiceSmoothing;
}

void KindQueue::UpdateBacklog(Instant now) {
  const bool backlogged = has_dispatchable();
  if (backlogged && !backlogged_) {
    backlogged_since_ = now;
  }
  backlogged_ = backlogged;
}

bool KindQueue::BackloggedFor(Duration span, Instant now) const {
  return backlogged_ && now - backlogged_since_ >= span;
}

void KindQueue::UpdateOccupancy(Instant now) {
  const double elapsed = static_cast<double>((now - occupancy_at_).count());
  const double window = static_cast<double>(kOccupancyWindow.count());
  occupancy_ += (in_flight_ - occupancy_) * elapsed / (elapsed + window);
  occupancy_at_ = now;
}

}  // namespace heatherlever
