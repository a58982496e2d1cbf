#include "heather-scenario/parse_duration.h"

#include <charconv>
#include <cstdint>
#include <map>

#include "heather-scenario/scenario_error.h"

namespace heather_scenario {

heatherlever::Duration ParseDuration(const std::string& text) {
  static const std::map<std::string, std::int64_t> microseconds = {
      {"us", 1}, {"ms", 1000}, {"s", 1000000}};
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, count);
  const auto unit = microseconds.find(std::string(result.ptr, end));
  if (result.ec != std::errc() || unit == microseconds.end()) {
    throw ScenarioError("a duration such as 10ms was expected, found '" + text +
                        "'");
  }
  return heatherlever::Duration(count * unit->second);
}

}  // namespace heather_scenario
