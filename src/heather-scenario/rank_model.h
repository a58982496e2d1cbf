#ifndef HEATHER_SCENARIO_RANK_MODEL_H_
#define HEATHER_SCENARIO_RANK_MODEL_H_

#include <memory>

namespace heather_scenario {

class ScenarioModel;

/// Scripts over the names of ranks: `at 0s name WORD`.
std::unique_ptr<ScenarioModel> MakeRankModel();

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_RANK_MODEL_H_
