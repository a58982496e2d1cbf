#ifndef HEATHERLEVER_CONNECTION_HEALTH_H_
#define HEATHERLEVER_CONNECTION_HEALTH_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heatherlever {

struct ConnectionOptions;

/// What one HTTP/1.1 connection to a backend server has shown: whether it may
/// carry another request. A connection may go silent for good without an error,
/// so that only a recent answer speaks for it.
class ConnectionHealth {
 public:
  explicit ConnectionHealth(Instant opened);

  /// A request was written to it.
  void OnSent(Instant now);
  /// The first byte of the answer came.
  void OnFirstByte(Instant now);
  /// The whole answer came, and its length and id were right.
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

  /// When a request was sent that has waited for its first byte for longer than
  /// the limit; nothing otherwise.
  std::optional<Instant> UnresponsiveSince(const ConnectionOptions& options,
                                           Instant now) const;

  /// When it last proved that it works: its opening or its last answer.
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
