#ifndef HEATHERNET_PEER_LIMITS_H_
#define HEATHERNET_PEER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "heatherlever/instant.h"

namespace heathernet {

/// Bounds on what peers may use of this process, and the times after which a
/// connection counts as dead.
struct PeerLimits {
  /// Bytes of all header names and values of one message.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// Bytes of one message's body, sent or received.
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// Streams that one peer may have open on one connection.
  std::uint32_t max_streams_per_connection = 256;
  /// Bytes of all requests that are still arriving; further ones are refused.
  std::size_t max_buffered_request_bytes = std::size_t{8} * 1024 * 1024;
  /// Connections accepted at a time; further ones are closed at once.
  std::size_t max_incoming_connections = 256;
  /// Connections opened at a time; further calls end with kNotSent.
  std::size_t max_outgoing_connections = 256;

  /// From connect() to the end of the TCP handshake.
  heatherlever::Duration connect_timeout{1'000'000};
  /// From accept() to the peer's complete HTTP/2 preface.
  heatherlever::Duration handshake_timeout{1'000'000};
  /// From a request's first byte to its last.
  heatherlever::Duration request_receive_timeout{5'000'000};
  /// A PING is sent on an outgoing connection with calls in progress on which
  /// nothing was received for this long.
  heatherlever::Duration ping_interval{500'000};
  /// The same for one without calls, for as long as keep_warm.
  heatherlever::Duration idle_ping_interval{500'000};
  /// From the last call that is no background call to the last idle PING.
  heatherlever::Duration keep_warm{10'000'000};
  /// From a PING to its answer; a connection without one is dropped.
  heatherlever::Duration ping_timeout{1'000'000};
  /// A call takes a new connection if nothing was received on the open one for
  /// this long.
  heatherlever::Duration max_silence_before_use{900'000};
  /// An accepted connection with requests in progress on which no whole frame
  /// was received, or nothing could be written, for this long is closed. Longer
  /// than the peers' ping_interval.
  heatherlever::Duration max_incoming_silence{5'000'000};
  /// The same for one without requests. Longer than the peers' idle_timeout.
  heatherlever::Duration max_incoming_idle{60'000'000};
  /// An outgoing connection without calls for this long is closed.
  heatherlever::Duration idle_timeout{30'000'000};
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_LIMITS_H_
