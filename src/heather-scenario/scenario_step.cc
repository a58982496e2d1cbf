#include <charconv>
#include <cstdint>

#include "heather-scenario/parse_duration.h"
#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"

namespace heather_scenario {

std::string ScenarioStep::Option(const std::string& name,
                                 const std::string& fallback) const {
  const std::string prefix = name + "=";
  for (const std::string& argument : arguments) {
    if (argument.rfind(prefix, 0) == 0) {
      return argument.substr(prefix.size());
    }
  }
  return fallback;
}

std::int64_t ScenarioStep::NumberOption(const std::string& name,
                                        std::int64_t fallback) const {
  const std::string text = Option(name, "");
  if (text.empty()) {
    return fallback;
  }
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    throw ScenarioError(name + " wants a whole number, found '" + text + "'");
  }
  return value;
}

heatherlever::Duration ScenarioStep::DurationOption(
    const std::string& name,
    heatherlever::Duration fallback) const {
  const std::string text = Option(name, "");
  return text.empty() ? fallback : ParseDuration(text);
}

}  // namespace heather_scenario
