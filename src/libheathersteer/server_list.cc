#include "heathersteer/server_list.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time without a read after which the store may have lost running servers.
constexpr Duration kOutageThreshold = std::chrono::milliseconds(3000);
// Time after an outage or a restore in which running servers register again.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2000);
// Differences in the end of the cold start up to this come from delays.
constexpr Duration kColdUntilTolerance = std::chrono::milliseconds(300);
// The platform removes the entries of silent servers within this time, so a
// server that stays listed for longer is running.
constexpr Duration kSilentEntryTime = std::chrono::seconds(10);
// Removed servers are remembered for this time, which bounds the age of the
// copies from which a restore is noticed, and up to this number.
constexpr Duration kRemovedServerTime = std::chrono::minutes(5);
constexpr std::size_t kMaxRemovedServers = 1000;

bool EqualExceptColdUntil(const BackendServer& a, BackendServer b) {
  const Duration difference = a.cold_until - b.cold_until;
  if (std::chrono::abs(difference) <= kColdUntilTolerance) {
    b.cold_until = a.cold_until;
  }
  return SameState(a, b);
}

// Whether `a` was reported before `b`.
bool PrecedesReport(const BackendServer& a, const BackendServer& b) {
  return std::tie(a.started_ms, a.report_sequence) <
         std::tie(b.started_ms, b.report_sequence);
}

}  // namespace

bool ServerList::Update(const Listing<BackendServer>& read, Instant now) {
  if (read.timeline < timeline_) {
    return false;
  }
  const bool restored = timeline_ != 0 && read.timeline > timeline_;
  timeline_ = read.timeline;
  const bool changed = Merge(read, now);
  const bool outage =
      known_at_.count() > 0 && now - known_at_ > kOutageThreshold;
  if (restored || (outage && !recovered_at_)) {
    recovered_at_ = now;
  }
  if (recovered_at_ && now - *recovered_at_ < kReregistrationTime) {
    return changed;
  }
  recovered_at_.reset();
  known_at_ = now;
  return DropMissing(read, now) || changed;
}

bool ServerList::Mirror(const Listing<BackendServer>& list, Instant known_at) {
  if (list.timeline < timeline_ || known_at < known_at_) {
    return false;
  }
  known_at_ = known_at;
  timeline_ = list.timeline;
  recovered_at_.reset();
  Merge(list, known_at);
  DropMissing(list, known_at);
  return true;
}

bool ServerList::Apply(const ServerDelta& delta,
                       std::uint64_t timeline,
                       Instant known_at) {
  const Listing<BackendServer> changed{timeline, delta.changed};
  if (delta.full) {
    return Mirror(changed, known_at);
  }
  if (timeline < timeline_ || known_at < known_at_) {
    return false;
  }
  known_at_ = known_at;
  timeline_ = timeline;
  recovered_at_.reset();
  Merge(changed, known_at);
  for (const std::string& id : delta.removed) {
    const auto entry = by_id_.find(id);
    if (entry != by_id_.end()) {
      Remove(entry, timeline, known_at);
    }
  }
  return true;
}

void ServerList::Confirm(Instant known_at) {
  known_at_ = std::max(known_at_, known_at);
}

bool ServerList::Merge(const Listing<BackendServer>& list, Instant now) {
  bool changed = false;
  for (const BackendServer& server : list.entries) {
    const auto known = by_id_.find(server.id);
    if (known == by_id_.end()) {
      if (!IsRemovedReport(server, list.timeline, now)) {
        by_id_[server.id] = {server, list.timeline};
        changed = true;
      }
      continue;
    }
    Entry& entry = known->second;
    if (list.timeline > entry.timeline &&
        PrecedesReport(server, entry.server)) {
      continue;
    }
    if (!EqualExceptColdUntil(entry.server, server)) {
      entry.server = server;
      changed = true;
    }
    entry.server.report_sequence = server.report_sequence;
    entry.timeline = list.timeline;
  }
  return changed;
}

bool ServerList::DropMissing(const Listing<BackendServer>& list, Instant now) {
  std::set<std::string> present;
  for (const BackendServer& server : list.entries) {
    present.insert(server.id);
  }
  bool dropped = false;
  for (auto entry = by_id_.begin(); entry != by_id_.end();) {
    const auto next = std::next(entry);
    if (!present.contains(entry->first)) {
      Remove(entry, list.timeline, now);
      dropped = true;
    }
    entry = next;
  }
  return dropped;
}

void ServerList::Remove(std::map<std::string, Entry>::iterator entry,
                        std::uint64_t timeline,
                        Instant now) {
  std::erase_if(removed_, [&](const auto& other) {
    return now - other.second.removed_at > kRemovedServerTime;
  });
  if (removed_.size() >= kMaxRemovedServers) {
    removed_.erase(std::min_element(
        removed_.begin(), removed_.end(), [](const auto& a, const auto& b) {
          return a.second.removed_at < b.second.removed_at;
        }));
  }
  const BackendServer& server = entry->second.server;
  removed_[entry->first] = {.started_ms = server.started_ms,
                            .report_sequence = server.report_sequence,
                            .timeline = timeline,
                            .removed_at = now,
                            .relisted_at = std::nullopt};
  by_id_.erase(entry);
}

bool ServerList::IsRemovedReport(const BackendServer& server,
                                 std::uint64_t timeline,
                                 Instant now) {
  const auto found = removed_.find(server.id);
  if (found == removed_.end()) {
    return false;
  }
  Removed& removed = found->second;
  const bool precedes = std::tie(server.started_ms, server.report_sequence) <=
                        std::tie(removed.started_ms, removed.report_sequence);
  if (timeline > removed.timeline && precedes &&
      now - removed.relisted_at.value_or(now) <= kSilentEntryTime) {
    removed.relisted_at = removed.relisted_at.value_or(now);
    return true;
  }
  removed_.erase(found);
  return false;
}

Duration ServerList::reregistration_time_left(Instant now) const {
  if (!recovered_at_) {
    return Duration(0);
  }
  return std::max(Duration(0), *recovered_at_ + kReregistrationTime - now);
}

std::vector<BackendServer> ServerList::servers() const {
  std::vector<BackendServer> list;
  for (const auto& [id, entry] : by_id_) {
    list.push_back(entry.server);
  }
  return list;
}

}  // namespace heathersteer
