#include "libheathergate/detour_field.h"

#include <gtest/gtest.h>

#include <string>

namespace heathergate {
namespace {

TEST(DetourFieldTest, RoundTrip) {
  const DetourField field{.attempts_left = 2, .config_version = UINT64_MAX};
  const auto parsed = DetourField::Parse(field.Format());
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->attempts_left, 2);
  EXPECT_EQ(parsed->config_version, UINT64_MAX);
}

TEST(DetourFieldTest, OtherTextIsNotAccepted) {
  for (const char* text : {"", "2", ";", "2;", ";7", "0;7", "-1;7", "2;-7",
                           "2;7;7", "x;7", "2;x"}) {
    EXPECT_FALSE(DetourField::Parse(text)) << text;
  }
}

}  // namespace
}  // namespace heathergate
