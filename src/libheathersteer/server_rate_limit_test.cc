#include "heathersteer/server_rate_limit.h"

#include <gtest/gtest.h>

#include <chrono>

#include "heathersteer/limit_report.h"

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(100));

TEST(ServerRateLimitTest, EndsWithTheFirstResponseThatStatesNone) {
  ServerRateLimit limit;
  EXPECT_TRUE(limit.Observe(8.5, kStart));
  EXPECT_FALSE(limit.Observe(8.5, kStart + seconds(1)));
  EXPECT_EQ(limit.limit(), 8.5);
  EXPECT_TRUE(limit.Observe(0, kStart + seconds(2)));
  EXPECT_EQ(limit.limit(), 0);
}

TEST(ServerRateLimitTest, OlderObservationDoesNotReplaceANewerOne) {
  ServerRateLimit limit;
  limit.Observe(0, kStart);
  EXPECT_FALSE(limit.Observe(8.5, kStart - milliseconds(1)));
  EXPECT_EQ(limit.limit(), 0);
}

// A limit that ended unconfirmed after 10 s let 93 hosts with a token each 18 s
// send without one.
TEST(ServerRateLimitTest, IdleHostKeepsToItsPartForLong) {
  ServerRateLimit limit;
  limit.Observe(5, kStart);
  EXPECT_GT(limit.TimeToSend(kStart, 100, 0), seconds(19));
  limit.TimeToSend(kStart + seconds(60), 100, 0);
  limit.Take();
  EXPECT_GT(limit.TimeToSend(kStart + seconds(60), 100, 0), seconds(19));
}

TEST(ServerRateLimitTest, HostMaySendWithItsNextTokenWhateverItKnows) {
  ServerRateLimit limit;
  limit.Observe(5, kStart);
  limit.TimeToSend(kStart, 100, 0);
  EXPECT_EQ(limit.TimeToSend(kStart + seconds(21), 100, 0), milliseconds(0));
}

TEST(ServerRateLimitTest, PartFollowsTheShareOfTheDemand) {
  ServerRateLimit limit;
  limit.Observe(10, kStart);
  limit.CountDemand(kStart);
  LimitReport report;
  limit.Report(report, kStart);
  report.demand *= 4;
  limit.Apply(report, 10, 10, kStart);
  // A quarter of the limit is 2.5 requests/s.
  EXPECT_EQ(limit.TimeToSend(kStart, 10, 0), milliseconds(400));
}

// A host that was paused acted on a part of the limit that others used by then.
TEST(ServerRateLimitTest, PartOfTheDemandEndsWhenTheTotalIsOld) {
  ServerRateLimit limit;
  limit.Observe(10, kStart);
  limit.CountDemand(kStart);
  LimitReport report;
  limit.Report(report, kStart);
  limit.Apply(report, 10, 10, kStart);
  limit.TimeToSend(kStart, 10, 0);
  const Instant resumed = kStart + seconds(3);
  limit.TimeToSend(resumed, 10, 0);
  limit.Take();
  while (limit.TimeToSend(resumed, 10, 0).count() == 0) {
    limit.Take();
  }
  EXPECT_GT(limit.TimeToSend(resumed, 10, 0), milliseconds(400));
}

// Only some of the hosts are known: the others count with equal parts.
TEST(ServerRateLimitTest, PartIsSmallerWhileHostsAreSilent) {
  ServerRateLimit limit;
  limit.Observe(10, kStart);
  limit.CountDemand(kStart);
  LimitReport report;
  limit.Report(report, kStart);
  limit.Apply(report, 2, 10, kStart);
  // Two of ten hosts may use 2 requests/s.
  EXPECT_EQ(limit.TimeToSend(kStart, 10, 0), milliseconds(500));
}

TEST(ServerRateLimitTest, EndReachesAHostThatSendsNothing) {
  ServerRateLimit limit;
  limit.Observe(10, kStart);
  LimitReport report;
  report.observed_at = kStart + seconds(1);
  EXPECT_TRUE(limit.Apply(report, 2, 10, kStart + seconds(2)));
  EXPECT_EQ(limit.limit(), 0);
  EXPECT_TRUE(limit.ShouldReport(kStart + seconds(10)));
  EXPECT_FALSE(limit.ShouldReport(kStart + seconds(12)));
}

// An observation that went around by two hosts seemed newer than it was.
TEST(ServerRateLimitTest, HostReportsOnlyWhatItsOwnResponsesStated) {
  ServerRateLimit limit;
  LimitReport report;
  report.limit = 10;
  report.observed_at = kStart;
  limit.Apply(report, 2, 10, kStart);
  LimitReport own;
  limit.Report(own, kStart);
  EXPECT_EQ(own.observed_at, Instant(0));
}

}  // namespace
}  // namespace heathersteer
