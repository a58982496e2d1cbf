#ifndef HEATHERGATE_HEADER_NAMES_H_
#define HEATHERGATE_HEADER_NAMES_H_

#include <string>

namespace heathergate {

/// Names of the header fields by which callers, entry hosts and backend servers
/// tell each other about a request.
struct HeaderNames {
  /// Identifies one try of a client; echoed in answers.
  std::string request_id = "Heather-Request-Id";
  /// Identifies the object that a request concerns.
  std::string affinity_key = "Heather-Affinity-Key";
  /// Milliseconds that the sender still waits for the answer.
  std::string time_left = "Heather-Time-Left";
  /// Backend server that alone is to run the request.
  std::string target_server = "Heather-Target-Server";
  /// Proof of a backend server's answer; passed on unchanged.
  std::string signature = "Heather-Signature";
  /// The backend server has not run the request.
  std::string not_executed = "Heather-Not-Executed";
  /// Requests running and waiting at a backend server, and its slots.
  std::string server_load = "Heather-Server-Load";
};

}  // namespace heathergate

#endif  // HEATHERGATE_HEADER_NAMES_H_
