#ifndef HEATHER_SCENARIO_POOL_MODEL_H_
#define HEATHER_SCENARIO_POOL_MODEL_H_

#include <memory>

namespace heather_scenario {

class ScenarioModel;

/// Scripts over a PoolQueue. Its verbs:
///   servers NAME=SLOTS... [drain=NAME,...]
///   submit COUNT first=ID [kind=K] [rank=R] [floor=PERCENT] [deadline=TIME]
///       [idempotent=1]         ids count up from `first`
///   done ID RESULT             ends the request's open attempt
///   serve TIME                 each open attempt ends well after 40 ms, until
///                              TIME has passed; prints the dispatches by kind
///   tick
///   summary
std::unique_ptr<ScenarioModel> MakePoolModel();

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_POOL_MODEL_H_
