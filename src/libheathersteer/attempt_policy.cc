#include "heathersteer/attempt_policy.h"

namespace heathersteer {
namespace {

// Placements in a row that may end without a connection before the request is
// rejected: one unreachable domain must not use up the whole deadline.
constexpr int kMaxUnsentPlacements = 3;

}  // namespace

NextStep AttemptPolicy::After(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kNotSent) {
    ++unsent_;
    return unsent_ < kMaxUnsentPlacements ? NextStep::kPlaceAgain
                                          : WithoutRetry();
  }
  ++sends_;
  const bool more = sends_ < max_attempts_;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return NextStep::kDeliver;
    case AttemptOutcome::kNotExecuted:
      return more ? NextStep::kRetry : WithoutRetry();
    case AttemptOutcome::kServerError:
      may_have_run_ = true;
      return more && idempotent_ ? NextStep::kRetry : NextStep::kDeliver;
    case AttemptOutcome::kBroken:
      may_have_run_ = true;
      return more && idempotent_ ? NextStep::kRetry : NextStep::kFail;
    case AttemptOutcome::kNotSent:
      break;
  }
  return NextStep::kFail;
}

}  // namespace heathersteer
