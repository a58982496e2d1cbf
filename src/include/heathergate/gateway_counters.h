#ifndef HEATHERGATE_GATEWAY_COUNTERS_H_
#define HEATHERGATE_GATEWAY_COUNTERS_H_

#include <cstdint>

namespace heathergate {

/// Counts of a gateway since its start.
struct GatewayCounters {
  std::uint64_t requests = 0;
  std::uint64_t delivered = 0;
  /// Answered that the request has not run.
  std::uint64_t rejected = 0;
  /// Answered that the outcome is unknown, or after the deadline.
  std::uint64_t failed = 0;
  std::uint64_t unrouted = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t sends = 0;
  std::uint64_t retries = 0;
  /// Answers that state that the request has not run.
  std::uint64_t server_refusals = 0;
  std::uint64_t broken_sends = 0;
  /// Rejected since most requests of the route ran out of time.
  std::uint64_t throttled = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_GATEWAY_COUNTERS_H_
