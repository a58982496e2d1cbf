#ifndef HEATHERLEVER_JOB_MESSAGE_H_
#define HEATHERLEVER_JOB_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>
#include "heatherlever/instant.h"
#include "heatherlever/job_attempt.h"
#include "heatherlever/job_key.h"
#include "heatherlever/job_record.h"
#include "heatherlever/pool_assignment.h"

namespace heatherlever {

/// A record in a message, with times that are left instead of instants.
struct JobRecordCopy {
  JobRecord record;
  Duration until_deadline{0};
  Duration until_forgotten{0};
};

/// Leader to the other members: may I dispatch this attempt?
struct JobIntent {
  JobRecordCopy copy;
};

/// Member to leader: the intent is recorded.
struct JobIntentAck {
  JobKey key;
  JobAttempt attempt;
};

/// Member to a host that led an earlier view or term: `view` leads now or,
/// where the term is closed, `successor` leads a later term.
struct JobRefusal {
  bool closed = false;
  HostId successor;
};

/// The result of an attempt, copied to the other members.
struct JobResult {
  JobRecordCopy copy;
};

/// Member to the others: promise to refuse views before the message's view,
/// and report what you hold. The sender means to lead that view.
struct JobDepose {};

/// New term's leader to a member of an earlier term: close that term and
/// report what you hold.
struct JobClose {};

/// Answer to JobDepose and JobClose.
struct JobReport {
  bool closing = false;
  /// Whether the member holds the records of the terms before.
  bool seeded = false;
  /// The term before the reported one, where the member knows it; number 0 if
  /// there was none.
  bool previous_known = false;
  PoolTerm previous;
  /// Time for which keys that no record names may have been run before.
  Duration uncertain{0};
  std::vector<JobRecordCopy> records;
};

/// New term's leader to the other members: the records of the terms before.
struct JobSeed {
  Duration uncertain{0};
  std::vector<JobRecordCopy> records;
};

struct JobSeedAck {};

/// A leaving leader to the next member: lead from now on.
struct JobHandover {};

using JobMessageBody = std::variant<JobIntent,
                                    JobIntentAck,
                                    JobRefusal,
                                    JobResult,
                                    JobDepose,
                                    JobClose,
                                    JobReport,
                                    JobSeed,
                                    JobSeedAck,
                                    JobHandover>;

/// A message between the job ledgers of two hosts. It may be lost, repeated,
/// reordered and late.
struct JobMessage {
  /// Receiver; another incarnation of the same host ignores the message.
  HostId to;
  std::string pool;
  std::uint64_t term = 0;
  std::uint64_t view = 0;
  JobMessageBody body;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_MESSAGE_H_
