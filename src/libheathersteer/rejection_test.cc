#include "heathersteer/rejection.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kAlmostOne = 0.999999;

TEST(RejectionTest, RetriesAreSpreadOverAThirdOfTheTimeLeft) {
  EXPECT_EQ(RetryAfter(seconds(9), 0), milliseconds(30));
  EXPECT_GT(RetryAfter(seconds(9), kAlmostOne), milliseconds(2990));
  EXPECT_LE(RetryAfter(seconds(9), kAlmostOne), seconds(3));
}

// Callers would come back while the servers still want no requests.
TEST(RejectionTest, RetriesFollowTheMomentAtWhichAServerIsAvailable) {
  EXPECT_EQ(RetryAfter(seconds(9), 0, seconds(1)), seconds(1));
  EXPECT_GT(RetryAfter(seconds(9), kAlmostOne, seconds(1)), milliseconds(1990));
  EXPECT_LE(RetryAfter(seconds(9), kAlmostOne, seconds(1)), seconds(2));
}

// Other hosts may serve callers that can't wait so long for this one.
TEST(RejectionTest, DelayThatTheCallerCannotWaitChangesNothing) {
  for (const Duration available_in :
       {Duration(seconds(2)), Duration(seconds(60)), Duration(hours(1))}) {
    for (const double random : {0.0, 0.5, kAlmostOne}) {
      EXPECT_EQ(RetryAfter(seconds(9), random, available_in),
                RetryAfter(seconds(9), random));
    }
  }
  EXPECT_EQ(RetryAfter(Duration(-5), kAlmostOne, seconds(1)), milliseconds(30));
}

}  // namespace
}  // namespace heathersteer
