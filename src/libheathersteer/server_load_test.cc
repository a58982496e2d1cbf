#include "heathersteer/server_load.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using std::chrono::seconds;

// Mean service time of a server that has not answered.
constexpr heatherlever::Duration kUnknown{0};

TEST(ServerLoadTest, CountsOwnRequestsExactlyAndOthersByReport) {
  ServerLoad load;
  load.Sent();
  load.Sent();
  load.Report(/*running=*/3, /*waiting=*/4, seconds(1));
  load.Finished();
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(1), kUnknown), 6);
}

TEST(ServerLoadTest, ReportsFade) {
  ServerLoad load;
  load.Report(3, 6, seconds(1));
  EXPECT_LT(load.Estimate(seconds(3), kUnknown), 1);
}

TEST(ServerLoadTest, ReportsOfSlowServersFadeLater) {
  ServerLoad load;
  load.Report(3, 6, seconds(1));
  EXPECT_GT(load.Estimate(seconds(3), seconds(2)), 5);
}

TEST(ServerLoadTest, AReportBelowTheOwnCountLeavesNoOthers) {
  ServerLoad load;
  load.Sent();
  load.Sent();
  load.Report(1, 0, seconds(1));
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(1), kUnknown), 2);
}

TEST(ServerLoadTest, TheNewestReportCountsWhoeverGotIt) {
  ServerLoad load;
  load.Sent();
  load.PeerReport(6, seconds(1));
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(1), kUnknown), 6);
  load.Report(2, 0, seconds(3));
  load.PeerReport(9, seconds(2));
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(3), kUnknown), 2);
  load.PeerReport(9, seconds(4));
  EXPECT_DOUBLE_EQ(load.Estimate(seconds(4), kUnknown), 9);
}

}  // namespace
}  // namespace heathersteer
