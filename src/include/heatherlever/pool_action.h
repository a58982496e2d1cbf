#ifndef HEATHERLEVER_POOL_ACTION_H_
#define HEATHERLEVER_POOL_ACTION_H_

#include <string>
#include <variant>

#include "heatherlever/finish_reason.h"
#include "heatherlever/instant.h"
#include "heatherlever/pool_request.h"
#include "heatherlever/request_outcome.h"

namespace heatherlever {

/// Send the request to the backend server now. Every dispatch is answered by
/// one or more PoolQueue::AttemptDone.
struct DispatchAction {
  RequestId id = 0;
  AttemptId attempt = 0;
  std::string backend;
  /// Deadline to pass on to the server.
  Instant deadline{0};
};

/// Ask the backend server to cancel the attempt, and report by AttemptDone
/// how that ended: kCancelled only if the server confirmed it, kFailed if the
/// connection was closed without its word, which is not held against it.
struct CancelAttemptAction {
  AttemptId attempt = 0;
  std::string backend;
};

/// The request has ended. Comes exactly once for each accepted id.
struct FinishAction {
  RequestId id = 0;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  FinishReason reason = FinishReason::kAnswered;
  /// Time after which a retry is likely to be admitted; 0 if it needs none.
  Duration retry_after{0};
  /// Attempt whose answer counts; 0 unless the outcome is kDone. Requests
  /// that share an attempt finish with the same one.
  AttemptId attempt = 0;
};

/// What a PoolQueue wants done.
using PoolAction =
    std::variant<DispatchAction, CancelAttemptAction, FinishAction>;

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_ACTION_H_
