#include "heathersteer/burst_limiter.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using std::chrono::milliseconds;

constexpr Duration kInterval = milliseconds(100);
constexpr Instant kStart = std::chrono::seconds(1000);

TEST(BurstLimiterTest, AfterAPauseABurstIsAllowedAtOnce) {
  BurstLimiter limiter(kInterval, 3);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(limiter.Reserve(kStart), Duration(0)) << i;
  }
  EXPECT_EQ(limiter.Reserve(kStart), kInterval);
  const Instant later = kStart + milliseconds(400);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(limiter.Reserve(later), Duration(0)) << i;
  }
}

TEST(BurstLimiterTest, EventsThatKeepComingAreAnIntervalApart) {
  BurstLimiter limiter(kInterval, 4);
  Instant now = kStart;
  constexpr int kEvents = 100;
  for (int i = 0; i < kEvents; ++i) {
    now += limiter.Reserve(now);
  }
  EXPECT_GE(now - kStart, kInterval * (kEvents - 4));
}

}  // namespace
}  // namespace heathersteer
