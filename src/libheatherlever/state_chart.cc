#include "heatherlever/state_chart.h"

#include <algorithm>

#include "built_in_chart.h"
#include "chart_error.h"
#include "libheatherlever/text_file.h"
#include "state_chart_reader.h"

namespace heatherlever {

absl::StatusOr<StateChart> StateChart::Parse(const std::string& text,
                                             const std::string& file) {
  try {
    return StateChartReader(file).Read(text);
  } catch (const ChartError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

absl::StatusOr<StateChart> StateChart::Load(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text) {
    return absl::NotFoundError("cannot read state chart '" + path + "'");
  }
  return Parse(*text, path);
}

absl::StatusOr<StateChart> StateChart::BuiltIn(std::string_view name) {
  for (const BuiltInChart& chart : BuiltInCharts()) {
    if (chart.name == name) {
      return Parse(std::string(chart.text),
                   "src/charts/" + std::string(name) + ".yaml");
    }
  }
  return absl::NotFoundError("no state chart is named '" + std::string(name) +
                             "'");
}

std::vector<std::string> StateChart::BuiltInNames() {
  std::vector<std::string> names;
  for (const BuiltInChart& chart : BuiltInCharts()) {
    names.emplace_back(chart.name);
  }
  return names;
}

absl::Status StateChart::CheckNames(
    std::span<const std::string_view> states,
    std::span<const std::string_view> events) const {
  if (!std::equal(states.begin(), states.end(), states_.begin(),
                  states_.end())) {
    return absl::InvalidArgumentError("state chart '" + name_ +
                                      "' has other states than the code");
  }
  if (!std::equal(events.begin(), events.end(), events_.begin(),
                  events_.end())) {
    return absl::InvalidArgumentError("state chart '" + name_ +
                                      "' has other events than the code");
  }
  return absl::OkStatus();
}

std::optional<std::size_t> StateChart::Next(std::size_t state,
                                            std::size_t event) const {
  const std::int16_t next = next_[state * events_.size() + event];
  if (next < 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(next);
}

}  // namespace heatherlever
