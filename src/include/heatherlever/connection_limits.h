#ifndef HEATHERLEVER_CONNECTION_LIMITS_H_
#define HEATHERLEVER_CONNECTION_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "heatherlever/connection_choice.h"
#include "heatherlever/connection_health.h"
#include "heatherlever/connection_options.h"
#include "heatherlever/instant.h"

namespace heatherlever {

/// This host's connections to one backend server: which may carry a request,
/// and how many there may be. Connections are identified by numbers that the
/// user of this class chooses and never uses twice.
class ConnectionLimits {
 public:
  /// `max_connections` is what the server accepts from all hosts together; this
  /// host may have its equal part, at least 1.
  ConnectionLimits(int max_connections, const ConnectionOptions& options);

  /// Chooses a connection: of those that may carry the request, the one that
  /// worked last, which counts as busy from now on. After kOpen, OnOpened or
  /// OnOpenFailed has to be called.
  ConnectionChoice Choose(bool idempotent, Instant now);

  /// A connection was opened and carries the request it was opened for.
  void OnOpened(std::uint64_t connection, Instant now);
  void OnOpenFailed();
  /// Events of a connection; unknown connections are ignored.
  void OnFirstByte(std::uint64_t connection, Instant now);
  void OnResponse(std::uint64_t connection, Instant now);
  /// The connection broke or was closed; it is no longer tracked.
  void OnClosed(std::uint64_t connection);

  /// Number of connections, those being opened included.
  std::size_t size() const { return connections_.size() + opening_; }
  /// Maximum number of connections that this host may have.
  std::size_t limit() const { return limit_; }

 private:
  bool CloseIdle(ConnectionChoice* choice);
  bool IsSuspect(const ConnectionHealth& health, Instant now) const;
  ConnectionHealth* Find(std::uint64_t connection);

  ConnectionOptions options_;
  std::size_t limit_;
  std::size_t opening_ = 0;
  std::map<std::uint64_t, ConnectionHealth> connections_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONNECTION_LIMITS_H_
