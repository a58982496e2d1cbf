#include "heathersteer/server_load.h"

#include <algorithm>
#include <cmath>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Age at which a report of other hosts' requests counts for 1/e; some service
// times long, as those requests end and others take their place.
constexpr Duration kReportDecayTime = std::chrono::milliseconds(700);

}  // namespace

void ServerLoad::Report(int running, int waiting, Instant now) {
  // The report was made while the answered request was still running or had
  // just ended; own_ still counts it.
  others_in_flight_ = std::max(0, running + waiting - local_in_flight_);
  reported_at_ = now;
}

double ServerLoad::Estimate(Instant now) const {
  const double age = static_cast<double>((now - reported_at_).count());
  const double fade =
      std::exp(-age / static_cast<double>(kReportDecayTime.count()));
  return local_in_flight_ + others_in_flight_ * fade;
}

}  // namespace heathersteer
