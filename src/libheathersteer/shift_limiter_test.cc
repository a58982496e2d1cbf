#include "heathersteer/shift_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum change of the share from one span of two seconds to the next.
constexpr double kMaxShiftChange = 0.15;
constexpr auto kSpan = seconds(2);
// Fifty requests a second.
constexpr auto kGap = milliseconds(20);
constexpr int kPerSecond = 50;

// Sends requests of which every `one_in`th would be shifted, shifts what the
// limiter allows, and records for each request whether it was shifted.
class Traffic {
 public:
  explicit Traffic(double max_change = kMaxShiftChange)
      : limiter_(max_change) {}

  void Run(heatherlever::Duration time, int one_in, bool impaired = false) {
    const Instant end = now_ + time;
    for (; now_ < end; now_ += kGap) {
      const bool would_shift = ++count_ % one_in == 0;
      if (impaired) {
        limiter_.MarkImpaired(now_);
      }
      limiter_.Observe(would_shift, now_);
      const bool shifted =
          would_shift ? limiter_.MayShift(now_) : limiter_.ShouldShift(now_);
      limiter_.Sent(shifted, now_);
      shifted_.push_back(shifted);
    }
  }

  double ShareFrom(std::size_t second) const {
    const std::size_t begin = second * kPerSecond;
    const std::size_t end = begin + kPerSecond * kSpan.count();
    int shifted = 0;
    for (std::size_t i = begin; i < end; ++i) {
      shifted += shifted_[i] ? 1 : 0;
    }
    return shifted / static_cast<double>(end - begin);
  }

  double MaxChange() const {
    double max_change = 0;
    for (std::size_t second = 0;
         (second + 2 * kSpan.count()) * kPerSecond <= shifted_.size();
         ++second) {
      max_change = std::max(
          max_change,
          std::abs(ShareFrom(second + kSpan.count()) - ShareFrom(second)));
    }
    return max_change;
  }

 private:
  ShiftLimiter limiter_;
  Instant now_ = seconds(100);
  int count_ = 0;
  std::vector<bool> shifted_;
};

TEST(ShiftLimiterTest, ABurstAndItsEndChangeTheShareGradually) {
  Traffic traffic;
  traffic.Run(seconds(10), 10);
  traffic.Run(seconds(12), 2);
  traffic.Run(seconds(12), 10);
  EXPECT_LE(traffic.MaxChange(), kMaxShiftChange);
  // In the end the share follows the demand.
  EXPECT_GE(traffic.ShareFrom(20), 0.4);
  EXPECT_LE(traffic.ShareFrom(32), 0.2);
}

TEST(ShiftLimiterTest, KeepsToASmallerOrLargerBound) {
  for (const double max_change : {0.1, 0.3}) {
    Traffic traffic(max_change);
    traffic.Run(seconds(10), 10);
    traffic.Run(seconds(20), 2);
    traffic.Run(seconds(20), 10);
    EXPECT_LE(traffic.MaxChange(), max_change);
    EXPECT_GE(traffic.ShareFrom(28), 0.4);
  }
}

TEST(ShiftLimiterTest, RequestsAreShiftedAtOnceWhileServersAreImpaired) {
  Traffic traffic;
  traffic.Run(seconds(10), 10);
  traffic.Run(seconds(4), 1, true);
  EXPECT_GE(traffic.ShareFrom(11), 0.95);
}

TEST(ShiftLimiterTest, TheFirstRequestsAreNotLimited) {
  Traffic traffic;
  traffic.Run(seconds(4), 1);
  EXPECT_EQ(traffic.ShareFrom(0), 1);
}

}  // namespace
}  // namespace heathersteer
