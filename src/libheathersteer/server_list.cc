#include "heathersteer/server_list.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time without a read after which the store may have lost live servers.
constexpr Duration kOutageThreshold = std::chrono::milliseconds(3000);
// Time after an outage in which live servers come back to the list.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2000);
// Differences of the end of the cold time up to this come from delays.
constexpr Duration kColdUntilTolerance = std::chrono::milliseconds(300);

bool EqualExceptColdUntil(const BackendServer& a, BackendServer b) {
  const Duration difference = a.cold_until - b.cold_until;
  if (std::chrono::abs(difference) <= kColdUntilTolerance) {
    b.cold_until = a.cold_until;
  }
  return a == b;
}

}  // namespace

bool ServerList::Update(const std::vector<BackendServer>& servers,
                        Instant now) {
  const bool changed = Merge(servers);
  if (known_at_.count() > 0 && now - known_at_ > kOutageThreshold) {
    if (!recovered_at_) {
      recovered_at_ = now;
    }
    if (now - *recovered_at_ < kReregistrationTime) {
      return changed;
    }
  }
  recovered_at_.reset();
  known_at_ = now;
  return DropMissing(servers) || changed;
}

bool ServerList::Mirror(const std::vector<BackendServer>& servers,
                        Instant known_at) {
  if (known_at < known_at_) {
    return false;
  }
  known_at_ = known_at;
  recovered_at_.reset();
  Merge(servers);
  DropMissing(servers);
  return true;
}

bool ServerList::Apply(const ServerDelta& delta, Instant known_at) {
  if (delta.full) {
    return Mirror(delta.changed, known_at);
  }
  if (known_at < known_at_) {
    return false;
  }
  known_at_ = known_at;
  recovered_at_.reset();
  Merge(delta.changed);
  for (const std::string& id : delta.removed) {
    by_id_.erase(id);
  }
  return true;
}

void ServerList::Confirm(Instant known_at) {
  known_at_ = std::max(known_at_, known_at);
}

bool ServerList::Merge(const std::vector<BackendServer>& servers) {
  bool changed = false;
  for (const BackendServer& server : servers) {
    const auto [entry, added] = by_id_.try_emplace(server.id, server);
    if (added || !EqualExceptColdUntil(entry->second, server)) {
      entry->second = server;
      changed = true;
    }
  }
  return changed;
}

bool ServerList::DropMissing(const std::vector<BackendServer>& servers) {
  std::set<std::string> present;
  for (const BackendServer& server : servers) {
    present.insert(server.id);
  }
  return std::erase_if(by_id_, [&](const auto& entry) {
           return !present.contains(entry.first);
         }) > 0;
}

Duration ServerList::reregistration_time_left(Instant now) const {
  if (!recovered_at_) {
    return Duration(0);
  }
  return std::max(Duration(0), *recovered_at_ + kReregistrationTime - now);
}

std::vector<BackendServer> ServerList::servers() const {
  std::vector<BackendServer> list;
  for (const auto& [id, server] : by_id_) {
    list.push_back(server);
  }
  return list;
}

}  // namespace heathersteer
