#include "heather-planner/planner_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace heather_planner {
namespace {

using testing::HasSubstr;

std::string ErrorOf(const std::string& yaml) {
  return std::string(PlannerSettings::Parse("p.yaml", yaml).status().message());
}

TEST(PlannerSettingsTest, ReadsEveryKey) {
  const auto settings = PlannerSettings::Parse(
      "p.yaml",
      "name: suva-1\nplatform: {address: 127.0.0.1, port: 7300}\n"
      "lease: {duration_ms: 4000, renew_after_ms: 1000, drift_margin_ms: 50}\n"
      "hysteresis_ms: 2000\npoll_interval_ms: 500\n");
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->name, "suva-1");
  EXPECT_EQ(settings->platform.port, 7300);
  EXPECT_EQ(settings->lease.duration, std::chrono::seconds(4));
  EXPECT_EQ(settings->hysteresis, std::chrono::seconds(2));
}

TEST(PlannerSettingsTest, UnknownKeyNamesFileLineAndExpectedKeys) {
  const std::string error =
      ErrorOf("name: a\nplatform:\n  address: 127.0.0.1\n  prot: 1\n");
  EXPECT_THAT(error, HasSubstr("p.yaml:4: unknown key 'prot', expected "));
  EXPECT_THAT(error, HasSubstr("port"));
}

TEST(PlannerSettingsTest, WrongValuesAreRefused) {
  EXPECT_THAT(ErrorOf("name: a\nhysteresis_ms: soon\n"),
              HasSubstr("p.yaml:2: the value of 'hysteresis_ms'"));
  EXPECT_THAT(ErrorOf("platform: {address: 127.0.0.1, port: 1}\n"),
              HasSubstr("'name' is missing"));
  EXPECT_THAT(ErrorOf("name: a\nplatform: {address: 127.0.0.1, port: 1}\n"
                      "lease: {duration_ms: 1000}\n"),
              HasSubstr("below duration_ms"));
  EXPECT_THAT(ErrorOf("name: [\n"), HasSubstr("p.yaml:"));
}

}  // namespace
}  // namespace heather_planner
