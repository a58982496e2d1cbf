#ifndef HEATHERGATE_GATEWAY_COUNTERS_H_
#define HEATHERGATE_GATEWAY_COUNTERS_H_

#include <cstdint>

namespace heathergate {

/// Counters of a gateway since its start.
struct GatewayCounters {
  std::uint64_t requests = 0;
  std::uint64_t delivered = 0;
  /// Responses by this host which state that the request has not run.
  std::uint64_t rejected = 0;
  /// Responses which state that the outcome is unknown or the deadline has
  /// passed.
  std::uint64_t failed = 0;
  std::uint64_t unrouted = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t sends = 0;
  std::uint64_t retries = 0;
  /// Responses of servers which state that the request has not run.
  std::uint64_t server_refusals = 0;
  /// Responses of servers which ask this host for a backoff.
  std::uint64_t server_backoffs = 0;
  std::uint64_t broken_sends = 0;
  /// Requests rejected because too many requests of the route missed their
  /// deadlines.
  std::uint64_t throttled = 0;
  /// Requests that were not sent because they crash servers.
  std::uint64_t quarantined = 0;
  /// Requests sent to servers with a rate limit.
  std::uint64_t limited_sends = 0;
  /// Requests rejected because the first usable server was cold.
  std::uint64_t cold_rejections = 0;
  /// Requests sent to other hosts, as no backend server was reachable.
  std::uint64_t detours = 0;
  /// Requests of other hosts that reached no backend server.
  std::uint64_t detoured = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_GATEWAY_COUNTERS_H_
