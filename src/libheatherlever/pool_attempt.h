#ifndef HEATHERLEVER_POOL_ATTEMPT_H_
#define HEATHERLEVER_POOL_ATTEMPT_H_

#include "backend_ledger.h"
#include "fair_queue.h"
#include "heatherlever/instant.h"

namespace heatherlever {

class KindQueue;

/// One dispatch of a job. It holds a slot until its end is confirmed or its
/// quarantine is over.
struct PoolAttempt {
  JobId job = 0;
  KindQueue* kind = nullptr;
  BackendIndex backend = 0;
  Instant started{0};
  /// The job no longer waits for it: it ended without a confirmation, or its
  /// response is no longer needed.
  bool detached = false;
  /// Its result was counted in the server's health.
  bool result_counted = false;
  /// It has already become overdue, and was counted as a failure if the server
  /// was unresponsive.
  bool overdue = false;
  /// Its cancellation was requested from the server.
  bool cancel_requested = false;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_ATTEMPT_H_
