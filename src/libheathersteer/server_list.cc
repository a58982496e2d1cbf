#include "heathersteer/server_list.h"

#include <chrono>
#include <set>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time without a read after which the store may have lost live servers.
constexpr Duration kOutage = std::chrono::milliseconds(3000);
// Time after an outage in which live servers come back to the list.
constexpr Duration kReturnTime = std::chrono::milliseconds(2000);
// Differences of the end of the cold time up to this come from delays.
constexpr Duration kColdSlack = std::chrono::milliseconds(300);

bool SameButForTime(const BackendServer& a, BackendServer b) {
  const Duration difference = a.cold_until - b.cold_until;
  if (std::chrono::abs(difference) <= kColdSlack) {
    b.cold_until = a.cold_until;
  }
  return a == b;
}

}  // namespace

bool ServerList::Update(const std::vector<BackendServer>& servers,
                        Instant now) {
  if (read_at_.count() > 0 && now - read_at_ > kOutage) {
    keep_missing_until_ = now + kReturnTime;
  }
  read_at_ = now;
  bool changed = false;
  std::set<std::string> present;
  for (const BackendServer& server : servers) {
    present.insert(server.id);
    const auto [entry, added] = by_id_.try_emplace(server.id, server);
    if (added || !SameButForTime(entry->second, server)) {
      entry->second = server;
      changed = true;
    }
  }
  if (now < keep_missing_until_) {
    return changed;
  }
  const auto missing = [&](const auto& entry) {
    return !present.contains(entry.first);
  };
  return std::erase_if(by_id_, missing) > 0 || changed;
}

std::vector<BackendServer> ServerList::servers() const {
  std::vector<BackendServer> list;
  for (const auto& [id, server] : by_id_) {
    list.push_back(server);
  }
  return list;
}

}  // namespace heathersteer
