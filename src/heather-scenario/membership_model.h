#ifndef HEATHER_SCENARIO_MEMBERSHIP_MODEL_H_
#define HEATHER_SCENARIO_MEMBERSHIP_MODEL_H_

#include <memory>

namespace heather_scenario {

class ScenarioModel;

/// Scripts over the membership of entry hosts:
///
///     add HOST REGION DOMAIN     start a listed host
///     list                       give the platform's list to all hosts
///     unlist HOST, list-leaving HOST    change the platform's list
///     kill HOST, restart HOST, freeze HOST, thaw HOST, leave HOST
///     cut FROM TO, heal FROM TO         one direction; TO may be `all`
///     watch HOST OTHER...        the hosts that HOST watches
///     publish HOST KEY version=N        an urgent value
///     view HOST                  print the states that HOST sees
///     entry HOST KEY             print the version that HOST knows
///     events HOST                print pauses and reachability since asked
std::unique_ptr<ScenarioModel> MakeMembershipModel();

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_MEMBERSHIP_MODEL_H_
