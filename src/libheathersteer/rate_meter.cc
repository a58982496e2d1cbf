#include "heathersteer/rate_meter.h"

#include <chrono>
#include <cmath>

namespace heathersteer {
namespace {

using heatherlever::Instant;

// Age at which an event counts for 1/e.
constexpr double kDecayTimeS = 2;

}  // namespace

void RateMeter::Count(Instant now) {
  events_ = rate_per_s(now) * kDecayTimeS + 1;
  counted_at_ = now;
}

double RateMeter::rate_per_s(Instant now) const {
  const double age_s = std::chrono::duration<double>(now - counted_at_).count();
  return events_ * std::exp(-age_s / kDecayTimeS) / kDecayTimeS;
}

}  // namespace heathersteer
