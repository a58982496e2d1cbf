#ifndef HEATHERLEVER_STATE_CHART_H_
#define HEATHERLEVER_STATE_CHART_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace heatherlever {

/// A state machine that is written in a YAML file; see
/// docs/design/state-charts.md. Checked when it is loaded, and then a table of
/// indices: a step costs one look-up.
class StateChart {
 public:
  /// The chart of a YAML text; `file` is for messages. InvalidArgument, naming
  /// file and line, if the text is no chart, names what is not declared,
  /// gives an event two transitions in a state or none, or has a state that
  /// cannot be reached.
  static absl::StatusOr<StateChart> Parse(const std::string& text,
                                          const std::string& file);

  /// The chart of a file. NotFound if it cannot be read.
  static absl::StatusOr<StateChart> Load(const std::string& path);

  /// A chart of src/charts/, which the library contains, by its name. NotFound
  /// if there is none.
  static absl::StatusOr<StateChart> BuiltIn(std::string_view name);

  /// Names of the charts that the library contains.
  static std::vector<std::string> BuiltInNames();

  /// InvalidArgument unless the chart's states and events are exactly those
  /// named, in this order: enum values are indices then.
  absl::Status CheckNames(std::span<const std::string_view> states,
                          std::span<const std::string_view> events) const;

  /// The state after an event; nothing if the state ignores the event.
  std::optional<std::size_t> Next(std::size_t state, std::size_t event) const;

  bool IsTerminal(std::size_t state) const { return terminal_[state]; }
  const std::string& name() const { return name_; }
  const std::vector<std::string>& states() const { return states_; }
  const std::vector<std::string>& events() const { return events_; }
  /// Index of the first initial state.
  std::size_t initial() const { return initial_.front(); }

 private:
  friend class StateChartReader;

  static constexpr std::int16_t kIgnored = -1;
  static constexpr std::int16_t kMissing = -2;

  StateChart() = default;

  std::string name_;
  std::vector<std::string> states_;
  std::vector<std::string> events_;
  std::vector<std::size_t> initial_;
  std::vector<bool> terminal_;
  /// Next state by state and event.
  std::vector<std::int16_t> next_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_STATE_CHART_H_
