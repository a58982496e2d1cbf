#include "heathersteer/server_load.h"

#include <algorithm>
#include <cmath>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Age at which a report of other hosts' requests counts for 1/e: some service
// times, because those requests end and others replace them.
constexpr Duration kReportDecayTime = std::chrono::milliseconds(700);

}  // namespace

void ServerLoad::Report(int running, int queued, Instant now) {
  // The server made the report while the request was still running or had just
  // ended; local_in_flight_ still counts it.
  others_in_flight_ =
      std::max(0.0, static_cast<double>(running) + queued - local_in_flight_);
  reported_at_ = now;
}

double ServerLoad::Estimate(Instant now) const {
  const double age = static_cast<double>((now - reported_at_).count());
  const double decay =
      std::exp(-age / static_cast<double>(kReportDecayTime.count()));
  return local_in_flight_ + others_in_flight_ * decay;
}

}  // namespace heathersteer
