#include "libheathergate/retry_after_field.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>

namespace heathergate {
namespace {

TEST(RetryAfterFieldTest, ParsesSecondsInDecimals) {
  EXPECT_EQ(ParseRetryAfter("2")->count(), 2);
  EXPECT_EQ(ParseRetryAfter("0.250")->count(), 0.25);
  EXPECT_EQ(ParseRetryAfter("0")->count(), 0);
  EXPECT_EQ(ParseRetryAfter("100000000000000000000")->count(), 1e20);
}

TEST(RetryAfterFieldTest, OtherTextIsNotAccepted) {
  for (const char* text : {"",
                           "-1",
                           "-0",
                           "+2",
                           "2s",
                           " 2",
                           "2 ",
                           "nan",
                           "-nan",
                           "inf",
                           "infinity",
                           "1e3",
                           "0x10",
                           "2,5",
                           "2;3",
                           "2, 3",
                           ".",
                           "soon",
                           "Wed, 21 Oct 2026 07:28:00 GMT",
                           "1.2.3"}) {
    EXPECT_FALSE(ParseRetryAfter(text)) << text;
  }
  EXPECT_FALSE(ParseRetryAfter(std::string(400, '9')));
  EXPECT_FALSE(ParseRetryAfter(std::string("2\0", 2)));
}

TEST(RetryAfterFieldTest, RandomTextGivesAFiniteDelayOrNone) {
  const std::string characters = "0123456789.-+eEinfaINFx ,:\t\xff";
  std::mt19937 random(20261206);
  std::uniform_int_distribution<std::size_t> length(0, 24);
  std::uniform_int_distribution<std::size_t> index(0, characters.size() - 1);
  for (int i = 0; i < 100000; ++i) {
    std::string text(length(random), ' ');
    for (char& c : text) {
      c = characters[index(random)];
    }
    if (const auto delay = ParseRetryAfter(text)) {
      EXPECT_TRUE(std::isfinite(delay->count()) && delay->count() >= 0) << text;
      EXPECT_EQ(text.find_first_not_of("0123456789."), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace heathergate
