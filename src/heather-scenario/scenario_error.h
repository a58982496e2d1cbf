#ifndef HEATHER_SCENARIO_SCENARIO_ERROR_H_
#define HEATHER_SCENARIO_SCENARIO_ERROR_H_

#include <stdexcept>

namespace heather_scenario {

/// A script that cannot be run: what was asked and what was found.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_SCENARIO_ERROR_H_
