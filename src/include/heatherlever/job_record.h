#ifndef HEATHERLEVER_JOB_RECORD_H_
#define HEATHERLEVER_JOB_RECORD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include "heatherlever/host_id.h"
#include "heatherlever/instant.h"
#include "heatherlever/job_attempt.h"
#include "heatherlever/job_key.h"

namespace heatherlever {

/// State of a key as one replica knows it. See src/charts/job.yaml.
enum class JobState : std::uint8_t {
  /// The leader waits for a quorum to acknowledge the intent.
  kPending,
  /// A quorum acknowledged; the queue may dispatch the job.
  kAllowed,
  /// The job was sent to a backend server.
  kDispatched,
  /// Another host holds the intent and may have dispatched the job.
  kHeld,
  kDone,
  kUnknown,
  /// The attempt was given up before it was dispatched.
  kNotRun,
};

inline constexpr std::array<std::string_view, 7> kJobStateNames = {
    "pending", "allowed", "dispatched", "held", "done", "unknown", "not-run"};

constexpr std::string_view JobStateName(JobState state) {
  return kJobStateNames[static_cast<std::size_t>(state)];
}

/// What a replica remembers of a key. Instants are of the replica's own clock;
/// messages carry the time that is left instead.
struct JobRecord {
  JobKey key;
  std::uint64_t fingerprint = 0;
  JobAttempt attempt;
  /// Host that alone may dispatch this attempt.
  HostId owner;
  JobState state = JobState::kHeld;
  /// The backend server's whole answer once the job is done. Empty, with
  /// `answer_dropped`, if it was too large to keep.
  std::string answer;
  bool answer_dropped = false;
  Instant deadline{0};
  Instant forget_at{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_RECORD_H_
