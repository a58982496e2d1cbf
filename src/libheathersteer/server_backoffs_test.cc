#include "heathersteer/server_backoffs.h"

#include <gtest/gtest.h>

#include <limits>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

TEST(ServerBackoffsTest, LatestEndOfAnIncarnationCounts) {
  ServerBackoffs backoffs;
  EXPECT_EQ(backoffs.Until("i-1", 7), Instant(0));
  EXPECT_EQ(backoffs.Record("i-1", 7, Seconds(2.5), seconds(10)),
            Instant(milliseconds(12500)));
  EXPECT_EQ(backoffs.Record("i-1", 7, Seconds(1), seconds(11)),
            Instant(milliseconds(12500)));
  EXPECT_EQ(backoffs.Record("i-1", 7, Seconds(2), seconds(12)),
            Instant(seconds(14)));
  EXPECT_EQ(backoffs.Until("i-1", 7), Instant(seconds(14)));
  EXPECT_EQ(backoffs.Until("i-1", 8), Instant(0));
  EXPECT_EQ(backoffs.Until("i-2", 7), Instant(0));
}

TEST(ServerBackoffsTest, UnknownIncarnationIsNotRemembered) {
  ServerBackoffs backoffs;
  EXPECT_EQ(backoffs.Record("i-1", 0, Seconds(2), seconds(1)),
            Instant(seconds(3)));
  EXPECT_EQ(backoffs.Until("i-1", 0), Instant(0));
}

// A wrong unit would keep a server out of use for days.
TEST(ServerBackoffsTest, DelayIsBounded) {
  ServerBackoffs backoffs;
  for (const double delay :
       {1e5, 1e30, std::numeric_limits<double>::infinity()}) {
    EXPECT_EQ(backoffs.Record("i-1", 7, Seconds(delay), seconds(1)),
              seconds(1) + ServerBackoffs::kMaxDelay);
  }
  for (const double delay :
       {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()}) {
    EXPECT_EQ(backoffs.Record("i-2", 7, Seconds(delay), seconds(1)),
              Instant(0));
  }
}

TEST(ServerBackoffsTest, BackoffsThatEndFirstAreDropped) {
  ServerBackoffs backoffs;
  const auto count = static_cast<std::int64_t>(backoffs.kMaxIncarnations);
  for (std::int64_t i = 1; i <= count + 1; ++i) {
    backoffs.Record("i-1", i, Seconds(100.0 + static_cast<double>(i % count)),
                    seconds(1));
  }
  EXPECT_EQ(backoffs.Until("i-1", count), Instant(0));
  EXPECT_NE(backoffs.Until("i-1", 1), Instant(0));
  EXPECT_NE(backoffs.Until("i-1", count + 1), Instant(0));
  // Those that have ended go before.
  backoffs.Record("i-2", 1, Seconds(1), seconds(200));
  backoffs.Record("i-2", 2, Seconds(2), seconds(200));
  EXPECT_NE(backoffs.Until("i-2", 1), Instant(0));
  EXPECT_EQ(backoffs.Until("i-1", 1), Instant(0));
}

}  // namespace
}  // namespace heathersteer
