#ifndef HEATHERLEVER_LIB_JOB_CONTEXT_H_
#define HEATHERLEVER_LIB_JOB_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/job_action.h"
#include "heatherlever/job_ledger_options.h"
#include "heatherlever/job_request.h"

namespace heatherlever {

/// What a replica may use of its ledger while it handles one event.
struct JobContext {
  const JobLedgerOptions& options;
  const std::set<HostId>& unreachable;
  const std::set<HostId>& gone;
  /// Highest incarnation known of each host.
  const std::map<std::string, std::uint64_t>& incarnations;
  /// Keys remembered in all pools.
  std::size_t record_count;
  std::vector<JobAction>& actions;
  Instant now;

  /// Whether the host's process has ended for certain.
  bool IsGone(const HostId& host) const {
    const auto known = incarnations.find(host.name);
    const bool replaced =
        known != incarnations.end() && host.incarnation < known->second;
    return replaced || gone.count(host) != 0;
  }

  bool IsSilent(const HostId& host) const {
    return unreachable.count(host) != 0 || IsGone(host);
  }

  void Reply(const JobRequest& request, JobOutcome outcome, JobReason reason) {
    actions.emplace_back(ReplyJob{request.id, outcome, reason, "", false});
  }

  void Redirect(const JobRequest& request, const HostId& to) {
    actions.emplace_back(RedirectJob{request.id, to});
  }
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_JOB_CONTEXT_H_
