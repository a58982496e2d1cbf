#include "leaving_share.h"

#include <algorithm>
#include <cmath>

namespace heatherlever {
namespace {

constexpr std::int64_t kPartsPerRequest = 1'000'000;

}  // namespace

LeavingShare::LeavingShare(Duration return_ramp) : return_ramp_(return_ramp) {}

void LeavingShare::SetTarget(double target, Instant now) {
  value_ = ValueAt(now);
  updated_ = now;
  target_ = std::clamp(target, 0.0, 1.0);
}

double LeavingShare::ValueAt(Instant now) const {
  if (return_ramp_ <= Duration(0)) {
    return target_;
  }
  const Duration elapsed = std::max(now - updated_, Duration(0));
  const double fallen = static_cast<double>(elapsed.count()) /
                        static_cast<double>(return_ramp_.count());
  return std::max(target_, value_ - fallen);
}

bool LeavingShare::IsReturning(Instant now) const {
  return ValueAt(now) > target_;
}

bool LeavingShare::NextLeaves(Instant now) const {
  return owed_parts_ + PartsAt(now) >= kPartsPerRequest;
}

bool LeavingShare::CountNext(Instant now) {
  owed_parts_ += PartsAt(now);
  if (owed_parts_ < kPartsPerRequest) {
    return false;
  }
  owed_parts_ -= kPartsPerRequest;
  return true;
}

std::int64_t LeavingShare::PartsAt(Instant now) const {
  return std::llround(ValueAt(now) * kPartsPerRequest);
}

}  // namespace heatherlever
