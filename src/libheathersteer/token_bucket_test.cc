#include "heathersteer/token_bucket.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(100));

TEST(TokenBucketTest, TokensComeAtTheRate) {
  TokenBucket bucket;
  bucket.Reset(0, kStart);
  bucket.Refill(2, kStart + milliseconds(499));
  EXPECT_FALSE(bucket.has_token());
  bucket.Refill(2, kStart + milliseconds(501));
  EXPECT_TRUE(bucket.has_token());
  bucket.Take();
  EXPECT_FALSE(bucket.has_token());
}

TEST(TokenBucketTest, KeepsOneTokenAndAShortBurstWhileIdle) {
  TokenBucket bucket;
  bucket.Reset(0, kStart);
  bucket.Refill(4, kStart + seconds(60));
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(bucket.has_token());
    bucket.Take();
  }
  EXPECT_FALSE(bucket.has_token());
}

TEST(TokenBucketTest, TimeToTokenFollowsTheRate) {
  TokenBucket bucket;
  bucket.Reset(0.5, kStart);
  EXPECT_EQ(bucket.TimeToToken(2), milliseconds(250));
  EXPECT_EQ(bucket.TimeToToken(0), Duration::max());
  bucket.Refill(2, kStart + milliseconds(250));
  EXPECT_EQ(bucket.TimeToToken(2), Duration(0));
}

}  // namespace
}  // namespace heathersteer
