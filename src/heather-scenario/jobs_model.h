#ifndef HEATHER_SCENARIO_JOBS_MODEL_H_
#define HEATHER_SCENARIO_JOBS_MODEL_H_

#include <memory>

namespace heather_scenario {

class ScenarioModel;

/// Scripts over the job ledgers of some entry hosts, which share one pool. All
/// messages arrive at once, in order, except where a host is frozen:
///   hosts NAME...                 starts the hosts
///   epoch N HOST,... [at=HOST,...]  puts an epoch into force, at every host
///                                 or at those named
///   submit ID HOST key=KEY [fingerprint=N] [depose=yes]
///   freeze|thaw|kill|restart|leave HOST
///   unreachable HOST              its peers notice that it does not answer
///   gone HOST                     the platform's list says it has ended
///   backend hold|go|shed          backend servers keep, run or shed jobs
///   runs KEY                      prints how often a job was run
std::unique_ptr<ScenarioModel> MakeJobsModel();

}  // namespace heather_scenario

#endif  // HEATHER_SCENARIO_JOBS_MODEL_H_
