#include "backend_health.h"

#include <gtest/gtest.h>

namespace heatherlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(BackendHealthTest, ConsecutiveFailuresMakeAnOutlier) {
  const PoolOptions options;
  BackendHealth health(options);
  health.OnFailure();
  health.OnFailure();
  health.OnResponse(milliseconds(40));
  health.OnFailure();
  health.OnFailure();
  EXPECT_FALSE(health.IsOutlier(milliseconds(40)));
  health.OnFailure();
  EXPECT_TRUE(health.IsOutlier(milliseconds(40)));
}

TEST(BackendHealthTest, LatencyFarAboveTheMedianMakesAnOutlier) {
  const PoolOptions options;
  BackendHealth health(options);
  for (int i = 0; i < 8; ++i) {
    health.OnResponse(milliseconds(200));
  }
  EXPECT_TRUE(health.IsOutlier(milliseconds(40)));
  EXPECT_FALSE(health.IsOutlier(milliseconds(100)));
}

TEST(BackendHealthTest, EjectionsBackOffAndOneFailureEjectsAgain) {
  const PoolOptions options;
  BackendHealth health(options);
  health.Eject(Instant(0));
  EXPECT_EQ(health.ejected_until(), seconds(1));
  health.EndEjection(seconds(1));
  EXPECT_FALSE(health.IsOutlier(milliseconds(40)));
  health.OnFailure();
  EXPECT_TRUE(health.IsOutlier(milliseconds(40)));
  health.Eject(seconds(1));
  EXPECT_EQ(health.ejected_until(), seconds(3));
  for (int i = 0; i < 20; ++i) {
    health.Eject(seconds(3));
  }
  EXPECT_EQ(health.ejected_until(), seconds(33));
}

}  // namespace
}  // namespace heatherlever
