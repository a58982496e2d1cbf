// The table of the models that scripts can name.

#include <functional>
#include <map>

#include "heather-scenario/jobs_model.h"
#include "heather-scenario/membership_model.h"
#include "heather-scenario/placement_model.h"
#include "heather-scenario/pool_model.h"
#include "heather-scenario/rank_model.h"
#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"

namespace heather_scenario {

std::unique_ptr<ScenarioModel> MakeScenarioModel(const std::string& name) {
  using Factory = std::function<std::unique_ptr<ScenarioModel>()>;
  static const std::map<std::string, Factory> factories = {
      {"placement", MakePlacementModel}, {"membership", MakeMembershipModel},
      {"pool", MakePoolModel},           {"jobs", MakeJobsModel},
      {"rank", MakeRankModel},
  };
  const auto found = factories.find(name);
  if (found == factories.end()) {
    throw ScenarioError("no model is named '" + name + "'");
  }
  return found->second();
}

}  // namespace heather_scenario
