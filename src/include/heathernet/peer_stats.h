#ifndef HEATHERNET_PEER_STATS_H_
#define HEATHERNET_PEER_STATS_H_

#include <cstddef>
#include <cstdint>

namespace heathernet {

/// Counts of a PeerTransport since it was created; bytes without TCP and IP
/// headers.
struct PeerStats {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;

  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  /// Connections left for a new one because nothing was heard on them.
  std::uint64_t connections_replaced = 0;
  /// Outgoing connections dropped because a PING was not answered in time.
  std::uint64_t dropped_ping_timeout = 0;
  /// Connections that the peer closed or broke.
  std::uint64_t dropped_by_peer = 0;

  std::uint64_t accepted = 0;
  /// Connections closed because max_incoming_connections were open.
  std::uint64_t rejected = 0;
  /// Connections closed for bytes that are no HTTP/2.
  std::uint64_t garbage = 0;
  std::uint64_t handshake_timeouts = 0;
  /// Accepted connections closed for max_incoming_silence.
  std::uint64_t dropped_silent = 0;
  /// Requests reset for size, for slowness or for want of a handler.
  std::uint64_t requests_refused = 0;
  std::uint64_t requests_handled = 0;
  std::uint64_t requests_cancelled = 0;

  std::uint64_t calls_answered = 0;
  std::uint64_t calls_not_sent = 0;
  std::uint64_t calls_unknown = 0;
  /// Answers whose x-exchange-id was not that of their request.
  std::uint64_t exchange_mismatches = 0;
  /// Answers without an end or of another length than stated.
  std::uint64_t incomplete_answers = 0;

  std::size_t open_outgoing = 0;
  std::size_t open_incoming = 0;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_STATS_H_
