#include "heather-load/experiment.h"

#include <gtest/gtest.h>

#include <cmath>

#include "heather-load/experiment_report.h"
#include "heather-load/experiment_table.h"

namespace heather_load {
namespace {

TEST(ConfidenceIntervalTest, FollowsStudentsDistribution) {
  const auto interval = ConfidenceInterval::Of({1, 2, 3, 4, 5});
  EXPECT_DOUBLE_EQ(interval.mean, 3);
  // 2.776 * sqrt(2.5) / sqrt(5)
  EXPECT_NEAR(interval.half_width, 1.963, 0.001);
}

TEST(ConfidenceIntervalTest, FewValues) {
  EXPECT_EQ(ConfidenceInterval::Of({}).mean, 0);
  EXPECT_EQ(ConfidenceInterval::Of({4}).mean, 4);
  EXPECT_TRUE(std::isinf(ConfidenceInterval::Of({4}).half_width));
  EXPECT_EQ(ConfidenceInterval::Of({4, 4}).half_width, 0);
}

TEST(ExperimentReportTest, OneRunHasNoIntervalAndNamesAreEscaped) {
  SettingResult result;
  result.name = "a<b";
  result.runs = 1;
  result.ranks = {{"first", ConfidenceInterval::Of({4}),
                   ConfidenceInterval::Of({9}), ConfidenceInterval::Of({100})}};
  result.seconds = {{10, 2, 0}, {12, 0, 1}};
  const auto json = ExperimentJson({result});
  EXPECT_TRUE(
      json["settings"][0]["ranks"][0]["p50_ms"]["half_width"].is_null());
  const std::string page = ExperimentPage({result});
  EXPECT_NE(page.find("a&lt;b"), std::string::npos);
  EXPECT_EQ(page.find("a<b"), std::string::npos);
  EXPECT_EQ(page.find("inf"), std::string::npos);
  EXPECT_EQ(page.find("nan"), std::string::npos);
}

}  // namespace
}  // namespace heather_load
