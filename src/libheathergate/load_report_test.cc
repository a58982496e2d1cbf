#include "libheathergate/load_report.h"

#include <gtest/gtest.h>

namespace heathergate {
namespace {

TEST(LoadReportTest, ParsesExactlyThreeNonNegativeNumbers) {
  const auto report = ParseLoadReport("3,1,8");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->running, 3);
  EXPECT_EQ(report->waiting, 1);
  EXPECT_EQ(report->slots, 8);
  for (const char* text : {"", "3,1", "3,1,8,2", "a,1,8", "-1,0,8", "3;1;8"}) {
    EXPECT_FALSE(ParseLoadReport(text)) << text;
  }
}

}  // namespace
}  // namespace heathergate
