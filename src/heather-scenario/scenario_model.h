#ifndef HEATHER_SCENARIO_SCENARIO_MODEL_H_
#define HEATHER_SCENARIO_SCENARIO_MODEL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heather_scenario {

/// One step of a script: `at 10ms verb argument...`.
struct ScenarioStep {
  heatherlever::Instant at;
  std::string verb;
  std::vector<std::string> arguments;

  /// The value of an argument `name=value`; `fallback` if there is none.
  std::string Option(const std::string& name,
                     const std::string& fallback) const;

  /// Like Option, as a whole number. Throws ScenarioError for other text.
  std::int64_t NumberOption(const std::string& name,
                            std::int64_t fallback) const;

  /// Like Option, as a duration such as 3s, 10ms or 250us.
  heatherlever::Duration DurationOption(const std::string& name,
                                        heatherlever::Duration fallback) const;
};

/// A part of the decision library under a script, in virtual time. Steps come
/// in the order of their instants.
class ScenarioModel {
 public:
  virtual ~ScenarioModel() = default;

  /// Runs one step and returns the lines to print, without line ends. Throws
  /// ScenarioError for an unknown verb or argument.
  virtual std::vector<std::string> Run(const ScenarioStep& step) = 0;
};

/// Makes the model that a script's first line, `model NAME`, asks for. Throws
/// ScenarioError if there is none. The table of models is in models.cc.
std::unique_ptr<ScenarioModel> MakeScenarioModel(const std::string& name);

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_SCENARIO_MODEL_H_
