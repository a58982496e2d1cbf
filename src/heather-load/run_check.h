#ifndef HEATHER_LOAD_RUN_CHECK_H_
#define HEATHER_LOAD_RUN_CHECK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "heather-load/request_result.h"

namespace heather_load {

struct LoadPlan;

/// What the backend servers' own counts say about a load.
struct RunCheck {
  /// Keys of non-idempotent work that were run more than once.
  std::uint64_t doubled = 0;
  /// Requests reported as not run that were run.
  std::uint64_t false_not_run = 0;
  /// Requests reported as done that no server ran.
  std::uint64_t false_done = 0;
  /// Most requests above a server's slots at the same time.
  std::uint64_t over_slots = 0;
  /// Backend servers that did not answer.
  std::uint64_t silent_servers = 0;
};

/// Asks every stand-in backend server of the plan and compares.
RunCheck CheckRuns(const LoadPlan& plan,
                   const std::vector<RequestResult>& results);

}  // namespace heather_load

#endif  // HEATHER_LOAD_RUN_CHECK_H_
