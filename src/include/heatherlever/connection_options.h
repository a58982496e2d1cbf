#ifndef HEATHERLEVER_CONNECTION_OPTIONS_H_
#define HEATHERLEVER_CONNECTION_OPTIONS_H_

#include <chrono>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Settings of the connections to backend servers.
struct ConnectionOptions {
  /// Non-idempotent work is sent only on a connection that responded within
  /// this time, or on a new one.
  Duration max_idle_non_idempotent = std::chrono::seconds(1);
  /// Idempotent work is sent only on a connection that responded within this
  /// time, or on a new one.
  Duration max_idle = std::chrono::seconds(5);
  /// If a request gets no byte of its response for this long, all connections
  /// to the same server that have not responded since it was sent are suspect.
  Duration first_byte_timeout = std::chrono::seconds(2);
  /// Configured maximum number of entry hosts, by which the connections that a
  /// server accepts are divided.
  int max_hosts = 22;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONNECTION_OPTIONS_H_
