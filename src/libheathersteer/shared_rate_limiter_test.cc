#include "heathersteer/shared_rate_limiter.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = Instant(seconds(100));

// A host waited for the interval of the fleet size that it assumed at its
// start.
TEST(SharedRateLimiterTest, ShorterIntervalAppliesAtOnce) {
  SharedRateLimiter limiter;
  EXPECT_FALSE(limiter.Ready(kNow, seconds(100), 0.5));
  EXPECT_FALSE(limiter.Ready(kNow + milliseconds(1), seconds(2), 0.5));
  EXPECT_TRUE(limiter.Ready(kNow + milliseconds(1001), seconds(2), 0.5));
}

TEST(SharedRateLimiterTest, EventsAreAnIntervalApart) {
  SharedRateLimiter limiter;
  EXPECT_TRUE(limiter.Ready(kNow, seconds(2), 0));
  limiter.Take(kNow, seconds(2));
  EXPECT_FALSE(limiter.Ready(kNow + milliseconds(1999), seconds(2), 0));
  EXPECT_TRUE(limiter.Ready(kNow + seconds(2), seconds(2), 0));
}

}  // namespace
}  // namespace heathersteer
