#include "heather-scenario/rank_model.h"

#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"
#include "heatherlever/rank.h"

namespace heather_scenario {
namespace {

class RankModel : public ScenarioModel {
 public:
  std::vector<std::string> Run(const ScenarioStep& step) override {
    if (step.verb != "name" || step.arguments.size() != 1) {
      throw ScenarioError("the rank model knows 'name WORD' only");
    }
    const std::string& word = step.arguments.front();
    const bool known = heatherlever::RankFromName(word).has_value();
    return {word + (known ? " is a rank" : " is no rank")};
  }
};

}  // namespace

std::unique_ptr<ScenarioModel> MakeRankModel() {
  return std::make_unique<RankModel>();
}

}  // namespace heather_scenario
