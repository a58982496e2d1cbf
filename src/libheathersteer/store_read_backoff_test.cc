#include "heathersteer/store_read_backoff.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

int ReadsIn(Duration outage, bool leads) {
  StoreReadBackoff pace;
  int reads = 0;
  for (Duration now{0}; now < outage; now += pace.RetryPause(leads)) {
    ++reads;
    pace.Failed();
  }
  return reads;
}

TEST(StoreReadPaceTest, InAnOutageOnlyTheReaderOfADomainKeepsTrying) {
  const int evenly = ReadsIn(seconds(12), true);
  EXPECT_EQ(evenly, 20);
  EXPECT_LE(ReadsIn(seconds(12), false), evenly / 2);
}

TEST(StoreReadPaceTest, AnOutagesEndIsSeenWhileTheStoreCountsAsUnstable) {
  StoreReadBackoff pace;
  for (int i = 0; i < 40; ++i) {
    pace.Failed();
    EXPECT_LT(pace.RetryPause(false), seconds(3));
  }
}

TEST(StoreReadPaceTest, ASuccessBeginsAnew) {
  StoreReadBackoff pace;
  EXPECT_FALSE(pace.failed());
  pace.Failed();
  pace.Failed();
  EXPECT_TRUE(pace.failed());
  pace.Succeeded();
  pace.Failed();
  EXPECT_EQ(pace.RetryPause(false), milliseconds(600));
}

}  // namespace
}  // namespace heathersteer
