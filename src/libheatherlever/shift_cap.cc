#include "heatherlever/shift_cap.h"

#include <algorithm>
#include <cmath>

namespace heatherlever {
namespace {

constexpr std::uint64_t kSharePartsPerUnit = 1'000'000;

// Makes up for shares that binary fractions hold a little too low, such as
// 0.29; far less than one part.
constexpr double kRoundingParts = 1e-6;

std::uint64_t ToParts(double share) {
  const double parts = std::clamp(share, 0.0, 1.0) * kSharePartsPerUnit;
  return static_cast<std::uint64_t>(std::floor(parts + kRoundingParts));
}

}  // namespace

ShiftCap::ShiftCap(double share, Duration window)
    : share_parts_(ToParts(share)), window_(std::max(window, Duration(1))) {}

bool ShiftCap::MayMove(Instant now) const {
  const bool in_window = InWindow(now);
  const std::uint64_t moved = in_window ? moved_ : 0;
  const std::uint64_t total = in_window ? total_ : 0;
  return (moved + 1) * kSharePartsPerUnit <= share_parts_ * (total + 1);
}

void ShiftCap::CountUnmoved(Instant now) {
  Roll(now);
  ++total_;
}

bool ShiftCap::TryMove(Instant now) {
  if (!MayMove(now)) {
    return false;
  }
  Roll(now);
  ++total_;
  ++moved_;
  return true;
}

void ShiftCap::ChangeShare(double share, Instant now) {
  share_parts_ = ToParts(share);
  window_start_ = now;
  moved_ = 0;
  total_ = 0;
}

Duration ShiftCap::UntilNextWindow(Instant now) const {
  return InWindow(now) ? window_start_ + window_ - now : Duration(0);
}

double ShiftCap::share() const {
  return static_cast<double>(share_parts_) / kSharePartsPerUnit;
}

bool ShiftCap::InWindow(Instant now) const {
  return now - window_start_ < window_;
}

// Windows start at multiples of their length after the first one, so that a
// quiet time does not shift them.
void ShiftCap::Roll(Instant now) {
  if (InWindow(now)) {
    return;
  }
  window_start_ += (now - window_start_) / window_ * window_;
  moved_ = 0;
  total_ = 0;
}

}  // namespace heatherlever
