#ifndef HEATHER_LOAD_LOAD_RUN_H_
#define HEATHER_LOAD_LOAD_RUN_H_

#include <vector>

#include "heather-load/request_result.h"

namespace heather_load {

struct Arrival;
struct LoadPlan;

/// Sends every arrival at its time and returns how each ended, in no
/// particular order. The results refer to `arrivals`.
std::vector<RequestResult> RunLoad(const LoadPlan& plan,
                                   const std::vector<Arrival>& arrivals);

}  // namespace heather_load

#endif  // HEATHER_LOAD_LOAD_RUN_H_
