#include "heatherlever/connection_health.h"

#include "heatherlever/connection_options.h"

namespace heatherlever {

ConnectionHealth::ConnectionHealth(Instant opened) : last_known_good_(opened) {}

void ConnectionHealth::OnSent(Instant now) {
  sent_ = now;
  first_byte_ = false;
}

void ConnectionHealth::OnFirstByte(Instant now) {
  first_byte_ = true;
  last_known_good_ = now;
}

void ConnectionHealth::OnResponse(Instant now) {
  sent_.reset();
  first_byte_ = false;
  last_known_good_ = now;
}

void ConnectionHealth::OnBroken() {
  broken_ = true;
}

bool ConnectionHealth::CanSend(bool idempotent,
                               const ConnectionOptions& options,
                               Instant now) const {
  if (broken_ || busy()) {
    return false;
  }
  const Duration limit =
      idempotent ? options.max_idle : options.max_idle_non_idempotent;
  return now - last_known_good_ <= limit;
}

bool ConnectionHealth::ShouldClose(const ConnectionOptions& options,
                                   Instant now) const {
  return broken_ || (!busy() && now - last_known_good_ > options.max_idle);
}

std::optional<Instant> ConnectionHealth::UnresponsiveSince(
    const ConnectionOptions& options,
    Instant now) const {
  if (!sent_ || first_byte_ || now - *sent_ <= options.first_byte_timeout) {
    return std::nullopt;
  }
  return sent_;
}

}  // namespace heatherlever
