#ifndef HEATHERGATE_HEADER_NAMES_H_
#define HEATHERGATE_HEADER_NAMES_H_

#include <string>

namespace heathergate {

/// Names of the header fields that callers, entry hosts and backend servers
/// exchange.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed in responses.
  std::string request_id = "Heather-Request-Id";
  /// Identifies the object that a request is about.
  std::string affinity_key = "Heather-Affinity-Key";
  /// Remaining time in milliseconds that the sender waits for the response.
  std::string time_left = "Heather-Time-Left";
  /// The only backend server that may run the request.
  std::string target_server = "Heather-Target-Server";
  /// Signature of a backend server's response; forwarded unchanged.
  std::string signature = "Heather-Signature";
  /// Set by a backend server that did not run the request.
  std::string not_executed = "Heather-Not-Executed";
  /// Numbers of running and queued requests at a backend server, and of its
  /// slots.
  std::string server_load = "Heather-Server-Load";
  /// Requests/s that a backend server accepts from all hosts together.
  std::string server_limit = "Heather-Server-Limit";
  /// "1" in all responses of a backend server that is leaving.
  std::string server_leaving = "Heather-Server-Leaving";
  /// Between entry hosts, in the response to a request that was passed on: the
  /// incarnation of the backend server that responded and states that it is
  /// leaving.
  std::string leaving_server = "Heather-Leaving-Server";
  /// Between entry hosts. In a request that another host passes on: maximum
  /// number of backend servers to which it may be sent, and version of that
  /// host's configuration. In a response: the host did not handle the request,
  /// but another one may.
  std::string detour = "Heather-Detour";
};

}  // namespace heathergate

#endif  // HEATHERGATE_HEADER_NAMES_H_
