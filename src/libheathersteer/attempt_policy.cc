#include "heathersteer/attempt_policy.h"

namespace heathersteer {
namespace {

// Maximum number of placements without a connection before the request is
// rejected: an unreachable domain must not use up the whole deadline.
constexpr int kMaxUnsentPlacements = 3;

}  // namespace

NextStep AttemptPolicy::After(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kNotSent) {
    ++unsent_;
    return unsent_ < kMaxUnsentPlacements ? NextStep::kPlaceAgain
                                          : WithoutRetry();
  }
  ++sends_;
  const bool attempts_left = sends_ < max_attempts_;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return NextStep::kDeliver;
    case AttemptOutcome::kNotExecuted:
      return attempts_left ? NextStep::kRetry : WithoutRetry();
    case AttemptOutcome::kServerError:
      may_have_run_ = true;
      return attempts_left && idempotent_ ? NextStep::kRetry
                                          : NextStep::kDeliver;
    case AttemptOutcome::kBroken:
      may_have_run_ = true;
      return attempts_left && idempotent_ ? NextStep::kRetry : NextStep::kFail;
    case AttemptOutcome::kNotSent:
      break;
  }
  return NextStep::kFail;
}

}  // namespace heathersteer
