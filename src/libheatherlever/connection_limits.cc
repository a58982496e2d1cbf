#include "heatherlever/connection_limits.h"

#include <algorithm>

namespace heatherlever {

ConnectionLimits::ConnectionLimits(int max_connections,
                                   const ConnectionOptions& options)
    : options_(options),
      limit_(static_cast<std::size_t>(
          std::max(1, max_connections / std::max(1, options.max_hosts)))) {}

ConnectionChoice ConnectionLimits::Choose(bool idempotent, Instant now) {
  ConnectionChoice choice;
  ConnectionHealth* best = nullptr;
  for (auto it = connections_.begin(); it != connections_.end();) {
    ConnectionHealth& health = it->second;
    const bool close = health.ShouldClose(options_, now) ||
                       (!health.busy() && IsSuspect(health, now));
    if (close) {
      choice.to_close.push_back(it->first);
      it = connections_.erase(it);
      continue;
    }
    if (health.CanSend(idempotent, options_, now) &&
        (!best || health.last_known_good() > best->last_known_good())) {
      best = &health;
      choice.connection = it->first;
    }
    ++it;
  }
  if (best) {
    best->OnSent(now);
    choice.action = ConnectionAction::kReuse;
  } else if (size() < limit_ || CloseIdle(&choice)) {
    ++opening_;
    choice.action = ConnectionAction::kOpen;
  } else {
    choice.action = ConnectionAction::kAtLimit;
  }
  return choice;
}

// Closes an idle connection that may not carry this request to make way for a
// new one.
bool ConnectionLimits::CloseIdle(ConnectionChoice* choice) {
  const auto idle =
      std::find_if(connections_.begin(), connections_.end(),
                   [](const auto& entry) { return !entry.second.busy(); });
  if (idle == connections_.end()) {
    return false;
  }
  choice->to_close.push_back(idle->first);
  connections_.erase(idle);
  return true;
}

void ConnectionLimits::OnOpened(std::uint64_t connection, Instant now) {
  OnOpenFailed();
  ConnectionHealth health(now);
  health.OnSent(now);
  connections_.emplace(connection, health);
}

void ConnectionLimits::OnOpenFailed() {
  opening_ -= opening_ > 0 ? 1 : 0;
}

void ConnectionLimits::OnFirstByte(std::uint64_t connection, Instant now) {
  if (ConnectionHealth* health = Find(connection)) {
    health->OnFirstByte(now);
  }
}

void ConnectionLimits::OnResponse(std::uint64_t connection, Instant now) {
  if (ConnectionHealth* health = Find(connection)) {
    health->OnResponse(now);
  }
}

void ConnectionLimits::OnClosed(std::uint64_t connection) {
  connections_.erase(connection);
}

// Whatever lost the state of one connection has probably lost that of others of
// the same age. They are suspect unless they responded after the request that
// got no response was sent.
bool ConnectionLimits::IsSuspect(const ConnectionHealth& health,
                                 Instant now) const {
  return std::any_of(
      connections_.begin(), connections_.end(), [&](const auto& entry) {
        const auto unresponsive = entry.second.UnresponsiveSince(options_, now);
        return unresponsive && health.last_known_good() < *unresponsive;
      });
}

ConnectionHealth* ConnectionLimits::Find(std::uint64_t connection) {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? nullptr : &found->second;
}

}  // namespace heatherlever
