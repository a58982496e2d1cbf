#include "heathersteer/server_health.h"

#include <algorithm>
#include <cstdint>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// First suspension after a failure: about the time in which other servers take
// over the keys of a crashed one without a visible drop.
constexpr Duration kFirstSuspension = std::chrono::milliseconds(300);
// Maximum suspension, so that the recovery of a server is noticed.
constexpr Duration kMaxSuspension = std::chrono::milliseconds(2400);
// Time after a suspension in which the server may have restarted cold before
// the list shows it: a heartbeat, a read and some slack.
constexpr Duration kProbation = std::chrono::milliseconds(2500);
// Weight of the newest response in the mean service time.
constexpr double kServiceTimeWeight = 0.1;
// Weight of the newest response in the share of refusals.
constexpr double kRefusalWeight = 0.2;

}  // namespace

void ServerHealth::RecordResponse(Duration service_time, Instant now) {
  consecutive_failures_ = 0;
  suspended_until_ = std::min(suspended_until_, now);
  refusal_share_ *= 1 - kRefusalWeight;
  if (mean_service_time_.count() == 0) {
    mean_service_time_ = service_time;
    return;
  }
  const double mean = static_cast<double>(mean_service_time_.count());
  const double step = static_cast<double>(service_time.count()) - mean;
  mean_service_time_ =
      Duration(static_cast<std::int64_t>(mean + kServiceTimeWeight * step));
}

void ServerHealth::RecordRefusal(Instant) {
  refusal_share_ += kRefusalWeight * (1 - refusal_share_);
}

void ServerHealth::RecordFailure(Instant now) {
  const Duration suspension =
      std::min(kFirstSuspension * (1 << std::min(consecutive_failures_, 4)),
               kMaxSuspension);
  ++consecutive_failures_;
  suspended_until_ = std::max(suspended_until_, now + suspension);
  probation_until_ = suspended_until_ + kProbation;
}

void ServerHealth::Reinstate() {
  consecutive_failures_ = 0;
  suspended_until_ = Instant(0);
  probation_until_ = Instant(0);
}

}  // namespace heathersteer
