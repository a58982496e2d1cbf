#include "heathersteer/server_reachability.h"

#include <chrono>
#include <cstddef>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Number of servers that have to fail within kFailureWindow.
constexpr std::size_t kSuspectServers = 2;
constexpr Duration kFailureWindow = std::chrono::milliseconds(1000);
// Interval between rounds of trial connections.
constexpr Duration kTrialInterval = std::chrono::milliseconds(250);
// Numbers of servers in a round. With four of five servers lost, all of a
// second round fail in 3 % of the cases.
constexpr std::size_t kFewServers = 3;
constexpr std::size_t kManyServers = 16;

}  // namespace

void ServerReachability::RecordUnreachable(const std::string& server_id,
                                           Instant now) {
  unreachable_[server_id] = now;
  if (!cut_off_) {
    std::erase_if(unreachable_, [&](const auto& entry) {
      return now - entry.second > kFailureWindow;
    });
  }
}

bool ServerReachability::ShouldTry(Instant now) const {
  const bool suspected = unreachable_.size() >= kSuspectServers;
  return first_round_failed_ ||
         ((cut_off_ || suspected) && now - tried_at_ >= kTrialInterval);
}

std::size_t ServerReachability::TrialCount() const {
  return first_round_failed_ ? kManyServers : kFewServers;
}

bool ServerReachability::RecordTrials(
    const std::vector<std::string>& server_ids,
    bool any_connected,
    Instant now) {
  tried_at_ = now;
  const bool first_round = !cut_off_ && !first_round_failed_;
  first_round_failed_ = first_round && !any_connected;
  if (any_connected) {
    unreachable_.clear();
  } else {
    // The next round tries others first.
    for (const std::string& id : server_ids) {
      unreachable_[id] = now;
    }
  }
  if (first_round_failed_) {
    return false;
  }
  const bool changed = cut_off_ == any_connected;
  cut_off_ = !any_connected;
  return changed;
}

std::vector<std::string> ServerReachability::unreachable() const {
  std::vector<std::string> ids;
  for (const auto& [id, failed_at] : unreachable_) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace heathersteer
