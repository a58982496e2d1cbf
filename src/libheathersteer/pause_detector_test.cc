#include "heathersteer/pause_detector.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using std::chrono::milliseconds;

constexpr Duration kThreshold = milliseconds(350);
constexpr Instant kStart = std::chrono::seconds(1000);

TEST(PauseDetectorTest, FirstObservationIsNoPause) {
  PauseDetector detector(kThreshold);
  EXPECT_FALSE(detector.Observe(kStart));
  EXPECT_EQ(detector.ended_at(), Instant(0));
}

TEST(PauseDetectorTest, LateTimersAreNoPause) {
  PauseDetector detector(kThreshold);
  Instant now = kStart;
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(detector.Observe(now)) << i;
    now += kThreshold - milliseconds(1);
  }
}

TEST(PauseDetectorTest, PauseIsNoticedOnceAndKeepsItsTimes) {
  PauseDetector detector(kThreshold);
  detector.Observe(kStart);
  const Instant end = kStart + milliseconds(2000);
  EXPECT_TRUE(detector.Observe(end));
  EXPECT_FALSE(detector.Observe(end));
  EXPECT_FALSE(detector.Observe(end + milliseconds(10)));
  EXPECT_EQ(detector.began_at(), kStart);
  EXPECT_EQ(detector.ended_at(), end);
  EXPECT_EQ(detector.length(), milliseconds(2000));
}

}  // namespace
}  // namespace heathersteer
