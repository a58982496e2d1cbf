#include "spill_control.h"

#include <algorithm>

namespace heatherlever {
namespace {

constexpr double kSpillAbovePressure = 1.25;
constexpr double kReturnBelowPressure = 0.9;
// Rise of the share per unit of pressure above the threshold.
constexpr double kRisePerSecond = 1;
constexpr double kFallPerSecond = 0.05;

// Pressure of a pool without usable slots, and the maximum pressure counted, so
// that one long queue doesn't outweigh the summaries after it.
constexpr double kMaxPressure = 3;
constexpr double kSmoothingSeconds = 1;

// Maximum time that counts for a gap between summaries.
constexpr double kMaxStepSeconds = 1;

double PressureOf(const HeadroomReport& summary) {
  if (summary.usable_slots <= 0) {
    return kMaxPressure;
  }
  const int used =
      summary.usable_slots - summary.free_slots + std::max(0, summary.queued);
  return std::clamp(static_cast<double>(used) / summary.usable_slots, 0.0,
                    kMaxPressure);
}

}  // namespace

void SpillControl::OnSummary(const HeadroomReport& summary, Instant now) {
  const Instant measured_at = now - summary.age;
  if (!measured_at_) {
    measured_at_ = measured_at;
    pressure_ = PressureOf(summary);
    return;
  }
  const double elapsed_s =
      std::chrono::duration<double>(measured_at - *measured_at_).count();
  if (elapsed_s <= 0) {
    return;
  }
  measured_at_ = measured_at;
  const double step_s = std::min(elapsed_s, kMaxStepSeconds);
  const double weight = step_s / (step_s + kSmoothingSeconds);
  pressure_ += weight * (PressureOf(summary) - pressure_);
  if (pressure_ > kSpillAbovePressure) {
    const double excess = pressure_ - kSpillAbovePressure;
    share_ = std::min(1.0, share_ + kRisePerSecond * excess * step_s);
  } else if (pressure_ < kReturnBelowPressure) {
    share_ = std::max(0.0, share_ - kFallPerSecond * step_s);
  }
}

}  // namespace heatherlever
