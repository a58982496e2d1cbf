#include "heather-planner/planner_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>

namespace heather_planner {
namespace {

using testing::HasSubstr;

constexpr char kNeeded[] =
    "name: suva-1\nplatform_address: 127.0.0.1\nplatform_port: 7300\n";

absl::StatusOr<PlannerSettings> Load(const std::string& yaml) {
  const std::string path = testing::TempDir() + "planner_settings_test.yaml";
  std::ofstream(path) << yaml;
  return LoadPlannerSettings(path);
}

std::string ErrorOf(const std::string& yaml) {
  return std::string(Load(yaml).status().message());
}

TEST(PlannerSettingsTest, ReadsEveryKey) {
  const auto settings =
      Load(std::string(kNeeded) +
           "lease_duration: 4s\nlease_renew_after: 1s\n"
           "lease_drift_margin: 50ms\nmissing_time: 2s\ninterval: 500ms\n");
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->name, "suva-1");
  EXPECT_EQ(settings->platform.port, 7300);
  EXPECT_EQ(settings->lease.duration, std::chrono::seconds(4));
  EXPECT_EQ(settings->missing_time, std::chrono::seconds(2));
}

TEST(PlannerSettingsTest, UnknownKeyNamesFileLineAndNearestKey) {
  const std::string error = ErrorOf(std::string(kNeeded) + "intervall: 1s\n");
  EXPECT_THAT(error, HasSubstr("planner_settings_test.yaml:4: "));
  EXPECT_THAT(error, HasSubstr("did you mean 'interval'?"));
}

TEST(PlannerSettingsTest, WrongValuesAreRefused) {
  EXPECT_THAT(ErrorOf(std::string(kNeeded) + "missing_time: soon\n"),
              HasSubstr(":4: the file: 'missing_time' wants a duration"));
  EXPECT_THAT(ErrorOf("platform_address: 127.0.0.1\n"),
              HasSubstr("'name' is missing"));
  EXPECT_THAT(ErrorOf(std::string(kNeeded) + "lease_duration: 1s\n"),
              HasSubstr("below 'lease_duration'"));
  EXPECT_THAT(ErrorOf("name: [\n"), HasSubstr("planner_settings_test.yaml:"));
}

}  // namespace
}  // namespace heather_planner
