#include "state_chart_reader.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>

#include "chart_error.h"

namespace heatherlever {

StateChart StateChartReader::Read(const std::string& text) {
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    throw ChartError(file_ + ":" + std::to_string(error.mark.line + 1) + ": " +
                     error.msg);
  }
  CheckKeys(root, {"chart", "events", "initial", "states"});
  try {
    ReadNames(root);
    for (const auto& state : root["states"]) {
      ReadState(state.first, state.second);
    }
  } catch (const YAML::Exception& error) {
    throw ChartError(file_ + ":" + std::to_string(error.mark.line + 1) + ": " +
                     error.msg);
  }
  CheckReachable(root["states"]);
  return chart_;
}

void StateChartReader::ReadNames(const YAML::Node& root) {
  for (const char* key : {"chart", "events", "initial", "states"}) {
    if (!root[key]) {
      Fail(root, std::string("'") + key + "' is missing");
    }
  }
  chart_.name_ = root["chart"].as<std::string>();
  for (const auto& event : root["events"]) {
    chart_.events_.push_back(event.as<std::string>());
  }
  for (const auto& state : root["states"]) {
    const auto name = state.first.as<std::string>();
    const auto& known = chart_.states_;
    if (std::find(known.begin(), known.end(), name) != known.end()) {
      Fail(state.first, "state '" + name + "' is declared twice");
    }
    chart_.states_.push_back(name);
  }
  for (const auto& name : root["initial"]) {
    chart_.initial_.push_back(Index(chart_.states_, name, "state"));
  }
  if (chart_.initial_.empty()) {
    Fail(root["initial"], "no initial state is named");
  }
  chart_.terminal_.assign(chart_.states_.size(), false);
  chart_.next_.assign(chart_.states_.size() * chart_.events_.size(),
                      StateChart::kMissing);
}

void StateChartReader::ReadState(const YAML::Node& name,
                                 const YAML::Node& body) {
  const std::size_t state = Index(chart_.states_, name, "state");
  CheckKeys(body, {"on", "ignore", "terminal"});
  chart_.terminal_[state] = body["terminal"] && body["terminal"].as<bool>();
  if (!chart_.terminal_[state]) {
    ReadTransitions(state, body["on"]);
    ReadIgnored(state, body["ignore"]);
    CheckComplete(state, name);
    return;
  }
  if (body["on"] || body["ignore"]) {
    Fail(name,
         "terminal state '" + name.as<std::string>() + "' has transitions");
  }
  const std::size_t count = chart_.events_.size();
  std::fill_n(chart_.next_.begin() + static_cast<std::ptrdiff_t>(state * count),
              count, StateChart::kIgnored);
}

void StateChartReader::ReadTransitions(std::size_t state,
                                       const YAML::Node& on) {
  if (!on) {
    return;
  }
  for (const auto& transition : on) {
    const std::size_t next = Index(chart_.states_, transition.second, "state");
    SetNext(state, transition.first, static_cast<std::int16_t>(next));
  }
}

void StateChartReader::ReadIgnored(std::size_t state,
                                   const YAML::Node& ignore) {
  if (!ignore) {
    return;
  }
  for (const auto& event : ignore) {
    SetNext(state, event, StateChart::kIgnored);
  }
}

void StateChartReader::SetNext(std::size_t state,
                               const YAML::Node& event,
                               std::int16_t next) {
  const std::size_t index = Index(chart_.events_, event, "event");
  std::int16_t& slot = chart_.next_[state * chart_.events_.size() + index];
  if (slot != StateChart::kMissing) {
    Fail(event, "state '" + chart_.states_[state] + "' has event '" +
                    chart_.events_[index] + "' twice");
  }
  slot = next;
}

void StateChartReader::CheckComplete(std::size_t state,
                                     const YAML::Node& name) const {
  const std::size_t count = chart_.events_.size();
  for (std::size_t event = 0; event < count; ++event) {
    if (chart_.next_[state * count + event] == StateChart::kMissing) {
      Fail(name, "state '" + chart_.states_[state] +
                     "' neither handles nor ignores event '" +
                     chart_.events_[event] + "'");
    }
  }
}

void StateChartReader::CheckReachable(const YAML::Node& states) const {
  std::vector<bool> reached(chart_.states_.size(), false);
  std::vector<std::size_t> open = chart_.initial_;
  while (!open.empty()) {
    const std::size_t state = open.back();
    open.pop_back();
    if (reached[state]) {
      continue;
    }
    reached[state] = true;
    for (std::size_t event = 0; event < chart_.events_.size(); ++event) {
      if (const auto next = chart_.Next(state, event)) {
        open.push_back(*next);
      }
    }
  }
  for (const auto& item : states) {
    const std::size_t state = Index(chart_.states_, item.first, "state");
    if (!reached[state]) {
      Fail(item.first,
           "state '" + chart_.states_[state] + "' cannot be reached");
    }
  }
}

void StateChartReader::CheckKeys(const YAML::Node& node,
                                 const std::vector<std::string>& known) const {
  if (!node.IsMap()) {
    Fail(node, "a map was expected");
  }
  for (const auto& item : node) {
    const auto key = item.first.as<std::string>();
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      Fail(item.first, "unknown key '" + key + "'");
    }
  }
}

std::size_t StateChartReader::Index(const std::vector<std::string>& names,
                                    const YAML::Node& name,
                                    const std::string& what) const {
  const auto text = name.as<std::string>();
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) {
    Fail(name, what + " '" + text + "' is not declared");
  }
  return static_cast<std::size_t>(found - names.begin());
}

void StateChartReader::Fail(const YAML::Node& node,
                            const std::string& problem) const {
  throw ChartError(file_ + ":" + std::to_string(node.Mark().line + 1) + ": " +
                   problem);
}

}  // namespace heatherlever
