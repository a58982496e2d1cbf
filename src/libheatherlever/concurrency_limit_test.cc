#include "concurrency_limit.h"

#include <gtest/gtest.h>

namespace heatherlever {
namespace {

constexpr int kSlots = 8;
constexpr Duration kStep = std::chrono::milliseconds(250);

TEST(ConcurrencyLimitTest, WarmServerUsesEverySlot) {
  const PoolOptions options;
  EXPECT_EQ(ConcurrencyLimit(options, kSlots).limit(), kSlots);
}

TEST(ConcurrencyLimitTest, ColdServerGrowsWithGoodResponsesOnly) {
  const PoolOptions options;
  ConcurrencyLimit limit(options, kSlots);
  limit.Restart(0.25, Instant(0));
  EXPECT_EQ(limit.limit(), 2);
  limit.OnResponse(1, kStep / 2);
  EXPECT_EQ(limit.limit(), 2);
  for (int i = 1; i < 20; ++i) {
    limit.OnResponse(1, i * kStep);
  }
  EXPECT_EQ(limit.limit(), kSlots);
}

TEST(ConcurrencyLimitTest, ShrinksWhileTheServerSlows) {
  const PoolOptions options;
  ConcurrencyLimit limit(options, kSlots);
  for (int i = 1; i < 20; ++i) {
    limit.OnResponse(6, i * kStep);
  }
  EXPECT_EQ(limit.limit(), kSlots / 2);
}

TEST(ConcurrencyLimitTest, ABurstOfShedsCountsOnceAndPausesGrowth) {
  const PoolOptions options;
  ConcurrencyLimit limit(options, kSlots);
  limit.OnShed(kStep);
  limit.OnShed(kStep);
  EXPECT_EQ(limit.limit(), 6);
  limit.OnResponse(1, 2 * kStep);
  EXPECT_EQ(limit.limit(), 6);
}

TEST(ConcurrencyLimitTest, NeverFallsBelowOne) {
  const PoolOptions options;
  ConcurrencyLimit limit(options, 3);
  for (int i = 0; i < 10; ++i) {
    limit.OnShed(i * kStep);
  }
  EXPECT_EQ(limit.limit(), 1);
}

}  // namespace
}  // namespace heatherlever
