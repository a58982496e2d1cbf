#include "heathersteer/server_load.h"

#include <algorithm>
#include <cmath>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Age at which a report of other hosts' requests counts for 1/e, at least: some
// service times, as those requests end and others take their place.
constexpr Duration kLeastFade = std::chrono::milliseconds(700);
constexpr int kFadeServiceTimes = 3;

}  // namespace

void ServerLoad::Report(int running, int waiting, Instant now) {
  // The report was made while the answered request was still running or had
  // just ended; own_ still counts it.
  others_ = std::max(0, running + waiting - own_);
  reported_at_ = now;
}

void ServerLoad::PeerReport(int requests, Instant reported_at) {
  if (reported_at > reported_at_) {
    others_ = std::max(0, requests - own_);
    reported_at_ = reported_at;
  }
}

double ServerLoad::Estimate(Instant now, Duration service_time) const {
  const Duration fade = std::max(kLeastFade, kFadeServiceTimes * service_time);
  const double age = static_cast<double>((now - reported_at_).count());
  const double left = std::exp(-age / static_cast<double>(fade.count()));
  return own_ + others_ * left;
}

}  // namespace heathersteer
