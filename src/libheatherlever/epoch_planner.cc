#include "heatherlever/epoch_planner.h"

#include <algorithm>

namespace heatherlever {
namespace {

std::map<std::string, HostRecord> ByName(const std::vector<HostRecord>& hosts) {
  std::map<std::string, HostRecord> by_name;
  for (const HostRecord& host : hosts) {
    by_name[host.name] = host;
  }
  return by_name;
}

std::vector<HostRecord> Values(
    const std::map<std::string, HostRecord>& by_name) {
  std::vector<HostRecord> hosts;
  hosts.reserve(by_name.size());
  for (const auto& [name, host] : by_name) {
    hosts.push_back(host);
  }
  return hosts;
}

}  // namespace

EpochPlanner::EpochPlanner(Duration hysteresis) : hysteresis_(hysteresis) {}

std::optional<EpochRecord> EpochPlanner::Decide(
    Instant now,
    const std::optional<EpochRecord>& current,
    const std::vector<HostRecord>& hosts,
    std::int64_t config_version) {
  const EpochRecord present = current.value_or(EpochRecord{});
  std::map<std::string, HostRecord> members = ByName(present.members);
  Track(Changes(members, hosts), now);
  if (config_version <= present.config_version) {
    config_differs_since_.reset();
  } else if (!config_differs_since_) {
    config_differs_since_ = now;
  }
  bool changed = config_differs_since_ &&
                 (!current || HasLasted(*config_differs_since_, now));
  for (const auto& [name, difference] : differences_) {
    if (current && !HasLasted(difference.since, now)) {
      continue;
    }
    changed = true;
    if (difference.wanted) {
      members[name] = *difference.wanted;
    } else {
      members.erase(name);
    }
  }
  if (!changed || members.empty()) {
    return std::nullopt;
  }
  return EpochRecord{present.number + 1,
                     std::max(present.config_version, config_version),
                     Values(members)};
}

void EpochPlanner::Reset() {
  differences_.clear();
  config_differs_since_.reset();
}

bool EpochPlanner::HasLasted(Instant since, Instant now) const {
  return now - since >= hysteresis_;
}

std::map<std::string, EpochPlanner::Wanted> EpochPlanner::Changes(
    const std::map<std::string, HostRecord>& members,
    const std::vector<HostRecord>& hosts) const {
  std::map<std::string, Wanted> changes;
  for (const auto& [name, member] : members) {
    changes[name] = std::nullopt;
  }
  for (const HostRecord& host : hosts) {
    if (host.leaving) {
      continue;
    }
    const auto member = members.find(host.name);
    if (member != members.end() && member->second == host) {
      changes.erase(host.name);
    } else {
      changes[host.name] = host;
    }
  }
  return changes;
}

// A difference keeps its start only while the list wants the same for the host.
void EpochPlanner::Track(const std::map<std::string, Wanted>& changes,
                         Instant now) {
  std::erase_if(differences_, [&](const auto& entry) {
    const auto change = changes.find(entry.first);
    return change == changes.end() || change->second != entry.second.wanted;
  });
  for (const auto& [name, wanted] : changes) {
    differences_.try_emplace(name, Difference{wanted, now});
  }
}

}  // namespace heatherlever
