#ifndef HEATHERLEVER_POOL_ACTION_H_
#define HEATHERLEVER_POOL_ACTION_H_

#include <string>
#include <variant>

#include "heatherlever/finish_reason.h"
#include "heatherlever/instant.h"
#include "heatherlever/pool_request.h"
#include "heatherlever/request_outcome.h"

namespace heatherlever {

/// Send the request to the backend server now. The end of the attempt has to be
/// reported by one or more calls of PoolQueue::AttemptDone.
struct DispatchAction {
  RequestId id = 0;
  AttemptId attempt = 0;
  std::string backend;
  /// Deadline to pass on to the server.
  Instant deadline{0};
};

/// Request that the backend server cancel the attempt; report by AttemptDone
/// how that ended: kCancelled only if the server confirmed it, kFailed if the
/// connection was closed without a confirmation. kFailed then doesn't count as
/// a failure of the server.
struct CancelAttemptAction {
  AttemptId attempt = 0;
  std::string backend;
};

/// The request has ended. Emitted exactly once for each accepted id.
struct FinishAction {
  RequestId id = 0;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  FinishReason reason = FinishReason::kAnswered;
  /// Time after which a retry is likely to be admitted; 0 if it needs none.
  Duration retry_after{0};
  /// Attempt whose response is used; 0 unless the outcome is kDone. Requests
  /// that share an attempt finish with the same one.
  AttemptId attempt = 0;
};

/// An action that the user of a PoolQueue has to carry out.
using PoolAction =
    std::variant<DispatchAction, CancelAttemptAction, FinishAction>;

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_ACTION_H_
