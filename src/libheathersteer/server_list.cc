#include "heathersteer/server_list.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <string>
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
// Removed servers are remembered for this time, which bounds the age of the
// copies from which a restore is noticed, and up to this number.
constexpr Duration kRemovedServerTime = std::chrono::minutes(5);
constexpr std::size_t kMaxRemovedServers = 1000;
// Number of reports that a server has missed when the platform removes it.
constexpr int kMissedReports = 3;
// Time from a report until this host has read it.
constexpr Duration kReadDelay = std::chrono::milliseconds(1000);

bool EqualExceptColdUntil(const BackendServer& a, BackendServer b) {
  const Duration difference = a.cold_until - b.cold_until;
  if (std::chrono::abs(difference) <= kColdUntilTolerance) {
    b.cold_until = a.cold_until;
  }
  return SameState(a, b);
}

}  // namespace

ServerList::ServerList(Duration report_interval)
    : report_interval_(report_interval) {}

bool ServerList::Update(const Listing<BackendServer>& read, Instant now) {
  if (read.timeline < timeline_) {
    return false;
  }
  const bool restored = timeline_ != 0 && read.timeline > timeline_;
  timeline_ = read.timeline;
  const ReportOrigin origin{
      .timeline = timeline_, .known_at = now, .from_store = true};
  ignored_.clear();
  const auto reports = SelectReports(read.entries);
  const bool changed = Merge(reports, origin);
  const bool outage =
      known_at_.count() > 0 && now - known_at_ > kOutageThreshold;
  if (restored || (outage && !recovered_at_)) {
    recovered_at_ = now;
  }
  if (recovered_at_ && now - *recovered_at_ < kReregistrationTime) {
    return changed;
  }
  // Neither the entries that an outage or a restore has cost nor those in whose
  // place another writer's stand say that their servers have left.
  std::set<std::string> lost(read.unusable.begin(), read.unusable.end());
  lost.insert(ignored_.begin(), ignored_.end());
  if (recovered_at_) {
    for (const auto& [id, server] : by_id_) {
      lost.insert(id);
    }
  }
  recovered_at_.reset();
  known_at_ = now;
  return DropMissing(reports, origin, lost) || changed;
}

bool ServerList::Mirror(const Listing<BackendServer>& list, Instant known_at) {
  if (list.timeline < timeline_ || known_at < known_at_) {
    return false;
  }
  known_at_ = known_at;
  timeline_ = list.timeline;
  recovered_at_.reset();
  const ReportOrigin origin{.timeline = timeline_, .known_at = known_at};
  ignored_.clear();
  const auto reports = SelectReports(list.entries);
  Merge(reports, origin);
  DropMissing(reports, origin, {});
  return true;
}

bool ServerList::Apply(const ServerDelta& delta,
                       std::uint64_t timeline,
                       Instant known_at) {
  if (delta.full) {
    return Mirror({timeline, delta.changed}, known_at);
  }
  if (timeline < timeline_ || known_at < known_at_) {
    return false;
  }
  known_at_ = known_at;
  timeline_ = timeline;
  recovered_at_.reset();
  const ReportOrigin origin{.timeline = timeline_, .known_at = known_at};
  Merge(SelectReports(delta.changed), origin);
  for (const std::string& id : delta.removed) {
    Remove(id, origin, false);
    ignored_.erase(id);
  }
  TrimRemoved(known_at);
  // What was listed before and is not in the delta is still listed.
  AcceptOverdue(known_at);
  return true;
}

bool ServerList::Confirm(Instant known_at) {
  if (known_at < known_at_) {
    return false;
  }
  known_at_ = known_at;
  return AcceptOverdue(known_at);
}

// Servers state their start times everywhere or, on platforms without them,
// nowhere. Where half of them do, an entry without one is another writer's.
std::vector<BackendServer> ServerList::SelectReports(
    const std::vector<BackendServer>& reports) {
  std::size_t stated = 0;
  for (const auto& [id, server] : by_id_) {
    stated += server.started_ms != 0 ? 1 : 0;
  }
  for (const BackendServer& report : reports) {
    stated += report.started_ms != 0 ? 1 : 0;
  }
  const bool expected =
      stated > 0 && 2 * stated >= by_id_.size() + reports.size();
  std::vector<BackendServer> selected;
  for (const BackendServer& report : reports) {
    if (report.started_ms != 0 || !expected) {
      selected.push_back(report);
    } else {
      ignored_.insert(report.id);
    }
  }
  return selected;
}

bool ServerList::Merge(const std::vector<BackendServer>& reports,
                       const ReportOrigin& origin) {
  bool changed = false;
  for (const BackendServer& report : reports) {
    const auto history = histories_.find(report.id);
    if (history == histories_.end()) {
      histories_.emplace(report.id, ReportHistory(report, origin));
      changed = Put(report) || changed;
    } else if (history->second.Accept(report, origin)) {
      changed = Put(report) || changed;
    } else {
      changed = ExtendColdStart(report) || changed;
      ignored_.insert(report.id);
      continue;
    }
    ignored_.erase(report.id);
  }
  return changed;
}

bool ServerList::Put(const BackendServer& report) {
  BackendServer server = report;
  server.succeeds_ms = histories_.at(report.id).succeeds_ms();
  const auto [entry, added] = by_id_.try_emplace(report.id, server);
  if (added) {
    return true;
  }
  BackendServer& known = entry->second;
  if (EqualExceptColdUntil(known, server)) {
    known.report_sequence = server.report_sequence;
    return false;
  }
  known = std::move(server);
  return true;
}

// A report of an earlier incarnation may be that of a later one with a slow
// clock, which is cold.
bool ServerList::ExtendColdStart(const BackendServer& report) {
  const auto known = by_id_.find(report.id);
  if (known == by_id_.end() || known->second.started_ms == report.started_ms ||
      report.cold_until <= known->second.cold_until + kColdUntilTolerance) {
    return false;
  }
  known->second.cold_until = report.cold_until;
  return true;
}

bool ServerList::AcceptOverdue(Instant now) {
  bool changed = false;
  for (auto& [id, history] : histories_) {
    if (const auto report = history.AcceptOverdue(now)) {
      ignored_.erase(id);
      changed = Put(*report) || changed;
    }
  }
  return changed;
}

bool ServerList::DropMissing(const std::vector<BackendServer>& reports,
                             const ReportOrigin& origin,
                             const std::set<std::string>& lost) {
  std::set<std::string> present;
  for (const BackendServer& server : reports) {
    present.insert(server.id);
  }
  bool dropped = false;
  for (const auto& [id, history] : histories_) {
    if (!present.contains(id)) {
      dropped = Remove(id, origin, lost.contains(id)) || dropped;
    }
  }
  TrimRemoved(origin.known_at);
  return dropped;
}

bool ServerList::Remove(const std::string& id,
                        const ReportOrigin& origin,
                        bool lost) {
  const auto history = histories_.find(id);
  if (history == histories_.end()) {
    return false;
  }
  history->second.ForgetLateReport();
  if (by_id_.erase(id) == 0) {
    return false;
  }
  const Duration silence =
      lost ? Duration(0) : kMissedReports * report_interval_ - kReadDelay;
  history->second.RecordRemoval(origin, silence);
  return true;
}

void ServerList::TrimRemoved(Instant now) {
  std::erase_if(histories_, [&](const auto& entry) {
    const auto removed_at = entry.second.removed_at();
    return removed_at && now - *removed_at > kRemovedServerTime;
  });
  while (histories_.size() > by_id_.size() + kMaxRemovedServers) {
    const auto order = [](const auto& a, const auto& b) {
      return a.second.removed_at().value_or(Instant::max()) <
             b.second.removed_at().value_or(Instant::max());
    };
    histories_.erase(
        std::min_element(histories_.begin(), histories_.end(), order));
  }
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
