#include "floor_account.h"

#include <algorithm>

namespace heatherlever {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(250);
constexpr int kMinBoundServiceTimes = 2;

}  // namespace

void FloorAccount::Accrue(double floor_slots,
                          Duration service_time,
                          Instant now) {
  const double window_us = floor_slots * static_cast<double>(kWindow.count());
  const double service_us =
      kMinBoundServiceTimes * static_cast<double>(service_time.count());
  max_balance_us_ = floor_slots > 0 ? std::max(window_us, service_us) : 0;
  const double earned_us =
      floor_slots * static_cast<double>((now - updated_).count());
  balance_us_ =
      std::clamp(balance_us_ + earned_us, -max_balance_us_, max_balance_us_);
  updated_ = now;
}

void FloorAccount::Charge(Duration slot_time) {
  balance_us_ = std::clamp(balance_us_ - static_cast<double>(slot_time.count()),
                           -max_balance_us_, max_balance_us_);
}

}  // namespace heatherlever
