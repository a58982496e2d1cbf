#include "heathersteer/overload_throttle.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Twenty requests a second. Every `one_in`th is served, the others run out of
// time.
class Traffic {
 public:
  // Returns the share of the requests that were rejected.
  double Run(heatherlever::Duration time, int one_in) {
    constexpr auto kGap = milliseconds(50);
    const Instant end = now_ + time;
    int rejected = 0;
    int count = 0;
    for (; now_ < end; now_ += kGap) {
      // The golden ratio spreads the draws evenly.
      draw_ += 0.618034;
      draw_ -= static_cast<int>(draw_);
      ++count;
      if (throttle_.ShouldReject(now_, draw_)) {
        ++rejected;
      } else if (++sent_ % one_in == 0) {
        throttle_.RecordServed(now_);
      } else {
        throttle_.RecordTimeout(now_);
      }
    }
    return static_cast<double>(rejected) / count;
  }

 private:
  OverloadThrottle throttle_;
  Instant now_ = seconds(100);
  double draw_ = 0;
  int sent_ = 0;
};

TEST(OverloadThrottleTest, RejectsNothingWhileMostIsServed) {
  Traffic traffic;
  EXPECT_EQ(traffic.Run(seconds(10), 1), 0);
}

TEST(OverloadThrottleTest, RejectsMostWhileHardlyAnythingIsServed) {
  Traffic traffic;
  traffic.Run(seconds(3), 10);
  EXPECT_GE(traffic.Run(seconds(5), 10), 0.5);
}

TEST(OverloadThrottleTest, OpensWithinSecondsOnceServersRecover) {
  Traffic traffic;
  traffic.Run(seconds(8), 10);
  traffic.Run(seconds(6), 1);
  EXPECT_LE(traffic.Run(seconds(4), 1), 0.05);
}

TEST(OverloadThrottleTest, AFewFailuresAfterAPauseRejectNothing) {
  OverloadThrottle throttle;
  for (int i = 0; i < 4; ++i) {
    throttle.RecordTimeout(seconds(5));
  }
  EXPECT_FALSE(throttle.ShouldReject(seconds(5), 0));
}

}  // namespace
}  // namespace heathersteer
