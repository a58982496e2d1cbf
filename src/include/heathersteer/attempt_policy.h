#ifndef HEATHERSTEER_ATTEMPT_POLICY_H_
#define HEATHERSTEER_ATTEMPT_POLICY_H_

namespace heathersteer {

/// How one send of a request to a backend server ended.
enum class AttemptOutcome {
  /// A complete response that is final.
  kAnswered,
  /// A complete response that reports a server error.
  kServerError,
  /// The server states that it did not run the request.
  kNotExecuted,
  /// No byte of the request was sent.
  kNotSent,
  /// The request was sent without a complete response; it may have run.
  kBroken,
};

/// What happens next to a request.
enum class NextStep {
  /// Pass the response on to the caller.
  kDeliver,
  /// Send it to another server, if the retry budget allows it.
  kRetry,
  /// Choose a server again; none has received the request in this attempt.
  kPlaceAgain,
  /// Respond that the request has not run.
  kReject,
  /// Respond that the outcome is unknown.
  kFail,
};

/// Decides from the attempts of one request whether it is retried. A request
/// that is not idempotent is retried only after proof that it has not run.
class AttemptPolicy {
 public:
  AttemptPolicy(bool idempotent, int max_attempts)
      : idempotent_(idempotent), max_attempts_(max_attempts) {}

  /// Records the outcome of an attempt and returns the next step.
  NextStep After(AttemptOutcome outcome);

  /// Next step when a retry is due but not possible.
  NextStep WithoutRetry() const {
    return may_have_run_ ? NextStep::kFail : NextStep::kReject;
  }

  /// Whether some server may have run the request.
  bool may_have_run() const { return may_have_run_; }

  /// Number of servers that the request reached, or may have reached.
  int sends() const { return sends_; }

 private:
  bool idempotent_;
  int max_attempts_;
  int sends_ = 0;
  int unsent_ = 0;
  bool may_have_run_ = false;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_ATTEMPT_POLICY_H_
