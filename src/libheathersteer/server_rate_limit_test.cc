#include "heathersteer/server_rate_limit.h"

#include <gtest/gtest.h>

#include <chrono>

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
  EXPECT_EQ(limit.limit(kStart + seconds(1)), 8.5);
  EXPECT_TRUE(limit.Observe(0, kStart + seconds(2)));
  EXPECT_EQ(limit.limit(kStart + seconds(2)), 0);
}

TEST(ServerRateLimitTest, OlderObservationDoesNotReplaceANewerOne) {
  ServerRateLimit limit;
  limit.Observe(0, kStart);
  EXPECT_FALSE(limit.Observe(8.5, kStart - milliseconds(1)));
  EXPECT_EQ(limit.limit(kStart), 0);
}

TEST(ServerRateLimitTest, EndsIfItIsNotConfirmed) {
  ServerRateLimit limit;
  limit.Observe(8.5, kStart);
  EXPECT_EQ(limit.limit(kStart + seconds(10)), 8.5);
  EXPECT_EQ(limit.limit(kStart + seconds(11)), 0);
}

}  // namespace
}  // namespace heathersteer
