#ifndef HEATHERSTEER_BACKEND_SERVER_H_
#define HEATHERSTEER_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "heatherlever/instant.h"

namespace heathersteer {

/// One incarnation of a backend server, as the platform lists it.
struct BackendServer {
  std::string id;
  std::string service;
  /// IP address.
  std::string address;
  std::uint16_t port = 0;
  std::string region;
  std::string domain;
  /// Number of requests that it runs concurrently.
  int slots = 1;
  bool draining = false;
  /// End of its cold start, during which it is slow.
  heatherlever::Instant cold_until{0};
  /// Start time as reported by the server; distinguishes incarnations of one
  /// id.
  std::int64_t started_ms = 0;
  /// Sequence number of the server's report about itself; starts anew with each
  /// incarnation.
  std::int64_t report_sequence = 0;
  /// Start time of the incarnation before this one if the clocks of the two
  /// differ so that it is later than this one's; 0 otherwise.
  std::int64_t succeeds_ms = 0;

  bool operator==(const BackendServer&) const = default;
};

/// Whether two reports describe the same state; the later of them repeats it.
inline bool SameState(const BackendServer& a, BackendServer b) {
  b.report_sequence = a.report_sequence;
  return a == b;
}

}  // namespace heathersteer

#endif  // HEATHERSTEER_BACKEND_SERVER_H_
