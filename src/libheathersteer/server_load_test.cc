#include "heathersteer/server_load.h"

#include <gtest/gtest.h>

#include <limits>

namespace heathersteer {
namespace {

using std::chrono::seconds;

TEST(ServerLoadTest, CountsLocalRequestsExactlyAndOthersByReport) {
  ServerLoad load;
  load.Sent();
  load.Sent();
  load.Report(/*running=*/3, /*queued=*/4, seconds(1));
  load.Finished();
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(1)), 6);
}

TEST(ServerLoadTest, ReportsDecay) {
  ServerLoad load;
  load.Report(3, 6, seconds(1));
  EXPECT_LT(load.Estimate(seconds(3)), 1);
}

TEST(ServerLoadTest, AReportBelowTheLocalCountMeansNoOtherRequests) {
  ServerLoad load;
  load.Sent();
  load.Sent();
  load.Report(1, 0, seconds(1));
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(1)), 2);
}

// The sum overflowed, and the server counted as idle.
TEST(ServerLoadTest, HugeReportsCountAsFull) {
  constexpr int kMax = std::numeric_limits<int>::max();
  ServerLoad load;
  load.Report(kMax, kMax, seconds(1));
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(1)), 2.0 * kMax);
}

}  // namespace
}  // namespace heathersteer
