#include "heathersteer/store_read_backoff.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

int ReadsIn(Duration outage, bool is_reader) {
  StoreReadBackoff backoff;
  int reads = 0;
  for (Duration now{0}; now < outage; now += backoff.RetryDelay(is_reader)) {
    ++reads;
    backoff.Failed();
  }
  return reads;
}

TEST(StoreReadBackoffTest,
     InAnOutageOtherHostsReadAtMostHalfAsOftenAsTheReader) {
  const int by_reader = ReadsIn(seconds(12), true);
  EXPECT_EQ(by_reader, 20);
  EXPECT_LE(ReadsIn(seconds(12), false), by_reader / 2);
}

TEST(StoreReadBackoffTest, TheDelayStaysBelowTheRecoveryTimeOfTheStore) {
  StoreReadBackoff backoff;
  for (int i = 0; i < 40; ++i) {
    backoff.Failed();
    EXPECT_LT(backoff.RetryDelay(false), seconds(3));
  }
}

TEST(StoreReadBackoffTest, ASuccessResetsTheDelay) {
  StoreReadBackoff backoff;
  EXPECT_FALSE(backoff.failed());
  backoff.Failed();
  backoff.Failed();
  EXPECT_TRUE(backoff.failed());
  backoff.Succeeded();
  backoff.Failed();
  EXPECT_EQ(backoff.RetryDelay(false), milliseconds(600));
}

}  // namespace
}  // namespace heathersteer
