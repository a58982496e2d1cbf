#include "libheathergate/rate_limit_field.h"

#include <gtest/gtest.h>

namespace heathergate {
namespace {

TEST(RateLimitFieldTest, ParsesPositiveDecimalNumbersOnly) {
  EXPECT_EQ(ParseRateLimit("8.5"), 8.5);
  EXPECT_EQ(ParseRateLimit("12"), 12);
  for (const char* text :
       {"", "0", "-1", "8.5/s", " 8", "nan", "inf", "1e3", "8,5"}) {
    EXPECT_FALSE(ParseRateLimit(text)) << text;
  }
}

}  // namespace
}  // namespace heathergate
