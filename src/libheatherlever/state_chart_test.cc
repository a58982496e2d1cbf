#include "heatherlever/state_chart.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace heatherlever {
namespace {

using ::testing::HasSubstr;

constexpr const char* kDoor = R"(chart: door
events: [open, shut, burn]
initial: [closed]
states:
  closed:
    on: {open: opened, burn: gone}
    ignore: [shut]
  opened:
    on: {shut: closed, burn: gone}
    ignore: [open]
  gone: {terminal: true}
)";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kDoor;
  return text.replace(text.find(from), from.size(), to);
}

std::string Problem(const std::string& text) {
  const auto chart = StateChart::Parse(text, "door.yaml");
  return chart.ok() ? "" : std::string{chart.status().message()};
}

TEST(StateChartTest, Steps) {
  const auto chart = StateChart::Parse(kDoor, "door.yaml");
  ASSERT_TRUE(chart.ok()) << chart.status();
  EXPECT_EQ(chart->Next(0, 0), 1U);
  EXPECT_EQ(chart->Next(0, 1), std::nullopt);
  EXPECT_EQ(chart->Next(1, 2), 2U);
  EXPECT_TRUE(chart->IsTerminal(2));
  EXPECT_EQ(chart->Next(2, 0), std::nullopt);
}

TEST(StateChartTest, NamesFileAndLineOfEachProblem) {
  EXPECT_EQ(Problem(Replaced("shut: closed, ", "")),
            "door.yaml:8: state 'opened' neither handles nor ignores event "
            "'shut'");
  EXPECT_EQ(Problem(Replaced("ignore: [open]", "ignore: [open, shut]")),
            "door.yaml:10: state 'opened' has event 'shut' twice");
  EXPECT_EQ(
      Problem(Replaced("on: {shut: closed", "on: {open: gone, shut: closed")),
      "door.yaml:10: state 'opened' has event 'open' twice");
  EXPECT_EQ(Problem(Replaced("{shut: closed,", "{shut: closed, shut: gone,")),
            "door.yaml:9: state 'opened' has event 'shut' twice");
  EXPECT_EQ(Problem(Replaced("open: opened", "open: gone")),
            "door.yaml:8: state 'opened' cannot be reached");
  EXPECT_EQ(Problem(Replaced("{shut: closed", "{shut: closd")),
            "door.yaml:9: state 'closd' is not declared");
  EXPECT_EQ(Problem(Replaced("[shut]", "[slam]")),
            "door.yaml:7: event 'slam' is not declared");
  EXPECT_EQ(Problem(Replaced("initial: [closed]", "initial: [shut]")),
            "door.yaml:3: state 'shut' is not declared");
  EXPECT_EQ(Problem(Replaced("initial: [closed]", "initial: []")),
            "door.yaml:3: no initial state is named");
  EXPECT_EQ(Problem(Replaced("{terminal: true}",
                             "{terminal: true, on: {open: gone}}")),
            "door.yaml:11: terminal state 'gone' has transitions");
  EXPECT_EQ(Problem(Replaced("terminal:", "final:")),
            "door.yaml:11: unknown key 'final'");
  EXPECT_EQ(Problem(Replaced("  gone:", "  opened:")),
            "door.yaml:11: state 'opened' is declared twice");
  EXPECT_EQ(Problem(Replaced("chart: door\n", "")),
            "door.yaml:1: 'chart' is missing");
  EXPECT_THAT(Problem(Replaced("[closed]", "[closed")),
              HasSubstr("door.yaml:"));
  EXPECT_EQ(Problem("door"), "door.yaml:1: a map was expected");
}

TEST(StateChartTest, EveryBuiltInChartLoads) {
  const std::vector<std::string> names = StateChart::BuiltInNames();
  EXPECT_EQ(names.size(), 6U);
  for (const std::string& name : names) {
    const auto built_in = StateChart::BuiltIn(name);
    ASSERT_TRUE(built_in.ok()) << built_in.status();
    EXPECT_EQ(built_in->name(), name);
    const auto loaded =
        StateChart::Load(std::string(HEATHER_SOURCE_DIR "/src/charts/")
                             .append(name)
                             .append(".yaml"));
    ASSERT_TRUE(loaded.ok()) << loaded.status();
    EXPECT_EQ(loaded->states(), built_in->states());
  }
}

TEST(StateChartTest, MissingCharts) {
  EXPECT_TRUE(absl::IsNotFound(StateChart::BuiltIn("none").status()));
  EXPECT_TRUE(absl::IsNotFound(StateChart::Load("/none.yaml").status()));
}

TEST(StateChartTest, NamesHaveToFitTheCode) {
  const auto chart = StateChart::Parse(kDoor, "door.yaml");
  ASSERT_TRUE(chart.ok());
  const std::vector<std::string_view> states = {"closed", "opened", "gone"};
  const std::vector<std::string_view> events = {"open", "shut", "burn"};
  EXPECT_TRUE(chart->CheckNames(states, events).ok());
  EXPECT_FALSE(chart->CheckNames(events, events).ok());
  EXPECT_FALSE(chart->CheckNames(states, states).ok());
}

}  // namespace
}  // namespace heatherlever
