#ifndef HEATHER_SCENARIO_SCENARIO_ERROR_H_
#define HEATHER_SCENARIO_SCENARIO_ERROR_H_

#include "libheathernet/program.h"

namespace heather_scenario {

/// A script that cannot be run: what was asked and what was found.
class ScenarioError : public heathernet::BadInput {
 public:
  using heathernet::BadInput::BadInput;
};

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_SCENARIO_ERROR_H_
