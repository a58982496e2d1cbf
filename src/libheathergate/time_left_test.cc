#include "libheathergate/time_left.h"

#include <gtest/gtest.h>

namespace heathergate {
namespace {

using std::chrono::microseconds;

TEST(TimeLeftTest, ParsesMillisecondsWithFraction) {
  EXPECT_EQ(ParseTimeLeft("1200"), microseconds(1200000));
  EXPECT_EQ(ParseTimeLeft("0.5"), microseconds(500));
  EXPECT_EQ(ParseTimeLeft("0"), microseconds(0));
}

TEST(TimeLeftTest, RejectsAnythingElse) {
  for (const char* text : {"", "-1", "12x", "nan", "ms", " 5"}) {
    EXPECT_EQ(ParseTimeLeft(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace heathergate
