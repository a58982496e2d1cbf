#ifndef HEATHERLEVER_JOB_ACTION_H_
#define HEATHERLEVER_JOB_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include "heatherlever/host_id.h"
#include "heatherlever/job_attempt.h"
#include "heatherlever/job_key.h"
#include "heatherlever/job_message.h"
#include "heatherlever/job_outcome.h"

namespace heatherlever {

/// Send a message to the job ledger of `message.to`.
struct SendJobMessage {
  JobMessage message;
};

/// Put the job in the pool's queue. It must not be dispatched before
/// AllowJob, and then only if JobLedger::Dispatch agrees.
struct EnqueueJob {
  std::string pool;
  JobKey key;
  JobAttempt attempt;
  /// Request whose content is the job's.
  std::uint64_t request_id = 0;
};

/// The queue may dispatch the job from now on.
struct AllowJob {
  std::string pool;
  JobKey key;
  JobAttempt attempt;
};

/// Take the job off the queue; it must not be dispatched any more.
struct WithdrawJob {
  std::string pool;
  JobKey key;
  JobAttempt attempt;
};

/// Answer a request.
struct ReplyJob {
  std::uint64_t request_id = 0;
  JobOutcome outcome = JobOutcome::kUnknown;
  JobReason reason = JobReason::kSettled;
  /// The backend server's whole answer, where the job is done.
  std::string answer;
  /// The job is done, but its answer was too large to remember.
  bool answer_dropped = false;
};

/// Submit a request at another host: nothing is known of it here.
struct RedirectJob {
  std::uint64_t request_id = 0;
  HostId to;
};

using JobAction = std::variant<SendJobMessage,
                               EnqueueJob,
                               AllowJob,
                               WithdrawJob,
                               ReplyJob,
                               RedirectJob>;

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_ACTION_H_
