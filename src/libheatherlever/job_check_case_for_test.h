#ifndef HEATHERLEVER_LIB_JOB_CHECK_CASE_FOR_TEST_H_
#define HEATHERLEVER_LIB_JOB_CHECK_CASE_FOR_TEST_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "heather-bench-jobs/job_world.h"

namespace heatherlever {

using heather_bench_jobs::JobWorld;

inline constexpr Duration kCheckDeadline = std::chrono::seconds(2);
inline constexpr Duration kExpireStep = std::chrono::seconds(4);

/// How often each kind of event may happen on a path.
struct Budget {
  int requests = 2;
  int duplicates = 0;
  int restarts = 0;
  int sheds = 0;
  int expiries = 0;
  int leaves = 0;
};

/// Hosts, faults and limits of one search.
struct CheckCase {
  std::vector<std::string> hosts;
  std::vector<std::string> members;
  /// Members of the second epoch; empty if there is none.
  std::vector<std::string> next_members;
  Budget budget;
  JobLedgerFaults faults;
  std::size_t max_states = 100000;
  /// Whether to check that all requests finish, at every fourth state.
  bool finishes = true;
};

/// What a search found; no violation is empty text.
struct CheckResult {
  std::size_t states = 0;
  std::size_t depth = 0;
  /// Whether every state within the budgets was visited.
  bool whole = false;
  std::string violation;
  std::string path;
};

/// A state of the search.
struct Node {
  JobWorld world;
  Budget left;
  /// Epochs written so far, and the newest that each host has.
  std::vector<JobEpoch> epochs;
  std::map<std::string, std::size_t> installed;
  std::size_t depth = 0;
  std::string path;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_JOB_CHECK_CASE_FOR_TEST_H_
