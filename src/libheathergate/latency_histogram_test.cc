#include "heathergate/latency_histogram.h"

#include <gtest/gtest.h>

namespace heathergate {
namespace {

TEST(LatencyHistogramTest, BucketCountsDurationsUpToItsLimit) {
  LatencyHistogram histogram;
  for (const int microseconds : {1, 1000, 40'000, 40'000, 500'000'000}) {
    histogram.Record(heatherlever::Duration(microseconds));
  }
  const auto buckets = histogram.Cumulative();
  EXPECT_EQ(buckets.front().count, 1u);
  EXPECT_EQ(buckets.back().count, 4u);
  EXPECT_EQ(histogram.count(), 5u);
  EXPECT_NEAR(histogram.sum_s(), 500.081, 0.001);
  for (const auto& bucket : buckets) {
    const std::uint64_t expected = (bucket.limit_s >= 0.000001 ? 1 : 0) +
                                   (bucket.limit_s >= 0.001 ? 1 : 0) +
                                   (bucket.limit_s >= 0.04 ? 2 : 0);
    EXPECT_EQ(bucket.count, expected) << bucket.limit_s;
  }
}

}  // namespace
}  // namespace heathergate
