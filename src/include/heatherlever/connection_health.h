#ifndef HEATHERLEVER_CONNECTION_HEALTH_H_
#define HEATHERLEVER_CONNECTION_HEALTH_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heatherlever {

struct ConnectionOptions;

/// Health of one HTTP/1.1 connection to a backend server, which decides whether
/// it may carry another request. A connection may stop responding for good
/// without an error, so only a recent response shows that it works.
class ConnectionHealth {
 public:
  explicit ConnectionHealth(Instant opened);

  /// A request was written to it.
  void OnSent(Instant now);
  /// The first byte of the response was received.
  void OnFirstByte(Instant now);
  /// The complete response was received, with the right length and id.
  void OnResponse(Instant now);
  /// A request failed, was cancelled or timed out, or the server closes the
  /// connection: it is never used again.
  void OnBroken();

  /// Whether a request may be sent on it. False while one is outstanding.
  bool CanSend(bool idempotent,
               const ConnectionOptions& options,
               Instant now) const;

  /// Whether it is to be closed: broken, or idle for too long.
  bool ShouldClose(const ConnectionOptions& options, Instant now) const;

  /// When the outstanding request was sent if it has waited for the first byte
  /// of its response for longer than first_byte_timeout; nullopt otherwise.
  std::optional<Instant> UnresponsiveSince(const ConnectionOptions& options,
                                           Instant now) const;

  /// When it last worked: its opening, or the last response or first byte.
  Instant last_known_good() const { return last_known_good_; }
  bool busy() const { return sent_.has_value(); }
  bool broken() const { return broken_; }

 private:
  Instant last_known_good_;
  std::optional<Instant> sent_;
  bool first_byte_ = false;
  bool broken_ = false;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONNECTION_HEALTH_H_
