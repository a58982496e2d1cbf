#ifndef HEATHER_SCENARIO_PLACEMENT_MODEL_H_
#define HEATHER_SCENARIO_PLACEMENT_MODEL_H_

#include <memory>

namespace heather_scenario {

class ScenarioModel;

/// Scripts over the placement of one kind of work at one entry host:
///
///   at 0s setup regions=a,b,c local=a cap=30 slots=40 move-ramp=0s return=10s
///   at 0s report b free=20 queued=0 lent=5 every=100ms for=2s
///   at 1s dead a            (or: alive a)
///   at 1s drain a start=2s ramp=10s
///   at 2s requests a count=100
///   at 2s done b count=5
///   at 2s explain a
///
/// `cap` is in percent. Links between regions take 10 ms more for each step
/// between their places in the list.
std::unique_ptr<ScenarioModel> MakePlacementModel();

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_PLACEMENT_MODEL_H_
