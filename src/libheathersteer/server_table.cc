#include "heathersteer/server_table.h"

#include <algorithm>
#include <utility>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Whether both are the same process at the same address.
bool SameIncarnation(const BackendServer& a, const BackendServer& b) {
  return a.started_ms == b.started_ms && a.address == b.address &&
         a.port == b.port && a.service == b.service;
}

}  // namespace

void ServerTable::Put(const BackendServer& server) {
  auto& state = by_id_[server.id];
  if (state && SameIncarnation(state->server, server)) {
    state->server = server;
    return;
  }
  const auto last = state;
  state = std::make_shared<ServerState>();
  state->server = server;
  if (last) {
    Unlink(last);
    // The process may have started long before it was listed.
    state->cold_limiter.Continue(last->cold_limiter);
  }
  // An older list may bring a server back after it was removed.
  state->leaving_since = leaving_.Since(server.id, server.started_ms);
  state->backoff_until = backoffs_.Until(server.id, server.started_ms);
  by_service_[server.service].push_back(state);
}

void ServerTable::Remove(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  Unlink(found->second);
  by_id_.erase(found);
}

bool ServerTable::RecordLeaving(const std::string& id,
                                std::int64_t started_ms,
                                heatherlever::Instant now) {
  const bool first = leaving_.Record(id, started_ms, now);
  const auto state = Find(id);
  if (state == nullptr || state->server.started_ms != started_ms ||
      state->leaving_since) {
    return first;
  }
  state->leaving_since = now;
  return true;
}

std::size_t ServerTable::leaving_count() const {
  return static_cast<std::size_t>(
      std::count_if(by_id_.begin(), by_id_.end(), [](const auto& entry) {
        return entry.second->leaving_since.has_value();
      }));
}

bool ServerTable::RecordBackoff(const std::string& id,
                                std::int64_t started_ms,
                                std::chrono::duration<double> delay,
                                Instant now) {
  const Instant until = backoffs_.Record(id, started_ms, delay, now);
  const auto state = Find(id);
  if (state == nullptr || state->server.started_ms != started_ms) {
    return false;
  }
  const bool begins = state->backoff_until <= now && until > now;
  state->backoff_until = std::max(state->backoff_until, until);
  return begins;
}

std::size_t ServerTable::backed_off_count(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(by_id_.begin(), by_id_.end(), [&](const auto& entry) {
        return entry.second->BackoffLeft(now) > Duration(0);
      }));
}

std::vector<std::string> ServerTable::KeepOnly(
    const std::set<std::string>& ids) {
  std::vector<std::string> removed;
  for (const auto& [id, state] : by_id_) {
    if (!ids.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    Remove(id);
  }
  return removed;
}

void ServerTable::Unlink(const std::shared_ptr<ServerState>& state) {
  state->listed = false;
  std::erase(by_service_[state->server.service], state);
}

void ServerTable::SetEvacuated(std::set<std::string> domains) {
  evacuated_ = std::move(domains);
}

bool ServerTable::evacuated(const std::string& domain) const {
  return evacuated_.contains(domain);
}

const ServerTable::Servers& ServerTable::OfService(
    const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? no_servers_ : found->second;
}

std::shared_ptr<ServerState> ServerTable::Find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

}  // namespace heathersteer
