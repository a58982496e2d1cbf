#ifndef HEATHERLEVER_POOL_JOB_H_
#define HEATHERLEVER_POOL_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "backend_ledger.h"
#include "fair_queue.h"
#include "heatherlever/instant.h"
#include "heatherlever/pool_request.h"

namespace heatherlever {

class KindQueue;

/// One unit of work of a pool: a request, and those that share its attempts.
struct PoolJob {
  /// A request that waits for the job's response.
  struct Member {
    RequestId id = 0;
    Instant deadline{0};
  };

  JobId id = 0;
  KindQueue* kind = nullptr;
  std::string caller;
  std::vector<Member> members;
  /// Latest deadline of the members.
  Instant deadline{0};
  bool idempotent = false;
  std::uint64_t coalescing_digest = 0;
  bool ready = true;
  /// Whether it waits in its kind's queue.
  bool queued = true;
  /// The caller has withdrawn it: no further attempt.
  bool cancelled = false;
  /// An attempt that has ended may have run it.
  bool may_have_run = false;
  /// Attempts that are not known to have ended.
  std::vector<AttemptId> attempts;
  /// Servers of all attempts so far.
  std::vector<BackendIndex> tried;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_JOB_H_
