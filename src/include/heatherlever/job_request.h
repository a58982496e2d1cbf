#ifndef HEATHERLEVER_JOB_REQUEST_H_
#define HEATHERLEVER_JOB_REQUEST_H_

#include <cstdint>
#include <string>
#include "heatherlever/instant.h"
#include "heatherlever/job_key.h"

namespace heatherlever {

/// A caller's request to run a non-idempotent job.
struct JobRequest {
  /// Identity of the request at the host that takes it.
  std::uint64_t id = 0;
  /// Pool of the job: the service in the caller's home region.
  std::string pool;
  JobKey key;
  /// Digest of the request's content. The same key with another fingerprint is
  /// refused.
  std::uint64_t fingerprint = 0;
  /// When the caller stops waiting.
  Instant deadline{0};
  /// How long the key is remembered after the deadline.
  Duration retention{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_REQUEST_H_
