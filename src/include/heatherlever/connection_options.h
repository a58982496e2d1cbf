#ifndef HEATHERLEVER_CONNECTION_OPTIONS_H_
#define HEATHERLEVER_CONNECTION_OPTIONS_H_

#include <chrono>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Settings of the connections to backend servers.
struct ConnectionOptions {
  /// Non-idempotent work only goes on a connection that answered within this
  /// time, or on a new one.
  Duration max_idle_non_idempotent = std::chrono::seconds(1);
  /// Idempotent work only goes on a connection that answered within this time,
  /// or on a new one.
  Duration max_idle = std::chrono::seconds(5);
  /// A request without a byte of its answer for this long puts its connection
  /// in doubt, and all others to the same server that have not answered since
  /// it was sent.
  Duration first_byte_timeout = std::chrono::seconds(2);
  /// Configured maximum number of entry hosts, by which the connections that a
  /// server accepts are divided.
  int max_hosts = 22;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONNECTION_OPTIONS_H_
