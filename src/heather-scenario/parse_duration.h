#ifndef HEATHER_SCENARIO_PARSE_DURATION_H_
#define HEATHER_SCENARIO_PARSE_DURATION_H_

#include <string>

#include "heatherlever/instant.h"

namespace heather_scenario {

/// The duration that text such as 3s, 10ms or 250us names. Throws
/// ScenarioError for other text.
heatherlever::Duration ParseDuration(const std::string& text);

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_PARSE_DURATION_H_
