#include "heathersteer/limit_pool.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = Instant(seconds(100));

LimitSummary MakeSummary(double limit,
                         Instant observed_at,
                         double demand,
                         std::int64_t started_ms = 1) {
  return {.hosts = 1,
          .reports = {{.server_id = "i-1",
                       .started_ms = started_ms,
                       .limit = limit,
                       .observed_at = observed_at,
                       .demand = demand}}};
}

TEST(LimitPoolTest, DemandIsAddedUpAndTheNewestObservationCounts) {
  LimitPool pool;
  pool.Record("a", MakeSummary(8, kNow - milliseconds(300), 2), kNow);
  pool.Record("b", MakeSummary(0, kNow - milliseconds(100), 3), kNow);
  pool.Record("c", {.hosts = 1, .reports = {}}, kNow);
  const LimitSummary sum = pool.Sum(kNow);
  EXPECT_EQ(sum.hosts, 3);
  ASSERT_EQ(sum.reports.size(), 1);
  EXPECT_EQ(sum.reports[0].limit, 0);
  EXPECT_EQ(sum.reports[0].demand, 5);
}

TEST(LimitPoolTest, LimitOfAnEarlierIncarnationIsDropped) {
  LimitPool pool;
  pool.Record("a", MakeSummary(8, kNow, 2, 1), kNow);
  pool.Record("b", MakeSummary(0, kNow - seconds(1), 3, 2), kNow);
  const LimitSummary sum = pool.Sum(kNow);
  ASSERT_EQ(sum.reports.size(), 1);
  EXPECT_EQ(sum.reports[0].started_ms, 2);
  EXPECT_EQ(sum.reports[0].limit, 0);
  EXPECT_EQ(sum.reports[0].demand, 3);
}

TEST(LimitPoolTest, SilentSourceNoLongerCounts) {
  LimitPool pool;
  pool.Record("a", MakeSummary(8, kNow, 2), kNow);
  pool.Record("b", MakeSummary(8, kNow, 3), kNow + seconds(2));
  const LimitSummary sum = pool.Sum(kNow + seconds(3));
  EXPECT_EQ(sum.hosts, 1);
  ASSERT_EQ(sum.reports.size(), 1);
  EXPECT_EQ(sum.reports[0].demand, 3);
}

}  // namespace
}  // namespace heathersteer
