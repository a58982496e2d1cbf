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

// Change that operators allow from one span of two seconds to the next.
constexpr double kMaxShiftChange = 0.15;
constexpr auto kSpan = seconds(2);
// Fifty requests a second.
constexpr auto kGap = milliseconds(20);
constexpr int kPerSecond = 50;

// Sends what the pace allows of a demand that wants every `one_in`th request to
// leave; returns for each request whether it left.
class Traffic {
 public:
  explicit Traffic(double most_change = kMaxShiftChange) : pace_(most_change) {}

  void Run(heatherlever::Duration time, int one_in, bool impaired = false) {
    const Instant end = now_ + time;
    for (; now_ < end; now_ += kGap) {
      const bool wants = ++count_ % one_in == 0;
      if (impaired) {
        pace_.MarkImpaired(now_);
      }
      pace_.Observe(wants, now_);
      const bool leaves =
          wants ? pace_.MayShift(now_) : pace_.ShouldShift(now_);
      pace_.Sent(leaves, now_);
      left_.push_back(leaves);
    }
  }

  double ShareFrom(std::size_t second) const {
    const std::size_t begin = second * kPerSecond;
    const std::size_t end = begin + kPerSecond * kSpan.count();
    int left = 0;
    for (std::size_t i = begin; i < end; ++i) {
      left += left_[i] ? 1 : 0;
    }
    return left / static_cast<double>(end - begin);
  }

  double MaxChange() const {
    double largest = 0;
    for (std::size_t second = 0;
         (second + 2 * kSpan.count()) * kPerSecond <= left_.size(); ++second) {
      largest = std::max(largest, std::abs(ShareFrom(second + kSpan.count()) -
                                           ShareFrom(second)));
    }
    return largest;
  }

 private:
  ShiftLimiter pace_;
  Instant now_ = seconds(100);
  int count_ = 0;
  std::vector<bool> left_;
};

TEST(ShiftPaceTest, AFloodAndItsEndMoveRequestsStepByStep) {
  Traffic traffic;
  traffic.Run(seconds(10), 10);
  traffic.Run(seconds(12), 2);
  traffic.Run(seconds(12), 10);
  EXPECT_LE(traffic.MaxChange(), kMaxShiftChange);
  // In the end the demand is met.
  EXPECT_GE(traffic.ShareFrom(20), 0.4);
  EXPECT_LE(traffic.ShareFrom(32), 0.2);
}

TEST(ShiftPaceTest, KeepsASmallerOrLargerBound) {
  for (const double most : {0.1, 0.3}) {
    Traffic traffic(most);
    traffic.Run(seconds(10), 10);
    traffic.Run(seconds(20), 2);
    traffic.Run(seconds(20), 10);
    EXPECT_LE(traffic.MaxChange(), most);
    EXPECT_GE(traffic.ShareFrom(28), 0.4);
  }
}

TEST(ShiftPaceTest, ImpairedServersMayBeLeftAtOnce) {
  Traffic traffic;
  traffic.Run(seconds(10), 10);
  traffic.Run(seconds(4), 1, true);
  EXPECT_GE(traffic.ShareFrom(11), 0.95);
}

TEST(ShiftPaceTest, TheFirstRequestsGoWhereTheyWant) {
  Traffic traffic;
  traffic.Run(seconds(4), 1);
  EXPECT_EQ(traffic.ShareFrom(0), 1);
}

}  // namespace
}  // namespace heathersteer
