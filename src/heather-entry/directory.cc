#include "heather-entry/directory.h"

#include <algorithm>

#include "heatherlever/member.h"
#include "heatherlever/rendezvous.h"

namespace heather_entry {
namespace {

using heatherlever::HostRecord;
using heatherlever::Instant;
using heatherlever::Member;

// How long a member that did not answer is asked last.
constexpr heatherlever::Duration kSilentTime = std::chrono::seconds(2);

}  // namespace

void Directory::InstallEpoch(const heatherlever::EpochRecord& epoch) {
  if (epoch.number > epoch_.number) {
    epoch_ = epoch;
    for (const HostRecord& host : epoch.members) {
      known_[host.name] = host;
    }
  }
}

std::optional<HostRecord> Directory::Find(const std::string& name) const {
  for (const HostRecord& host : epoch_.members) {
    if (host.name == name) {
      return host;
    }
  }
  return std::nullopt;
}

std::optional<HostRecord> Directory::FindEver(const std::string& name) const {
  const auto found = known_.find(name);
  if (found == known_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::string Directory::ActingRegion(const std::string& home) const {
  const auto found = epoch_.acting_regions.find(home);
  return found == epoch_.acting_regions.end() ? home : found->second;
}

std::vector<HostRecord> Directory::Owners(const PoolName& pool,
                                          Instant now) const {
  std::vector<Member> members;
  const bool any_region = MemberCount(pool.region) == 0;
  for (const HostRecord& host : epoch_.members) {
    if (any_region || host.region == pool.region) {
      members.push_back(
          {host.name, host.incarnation, host.region, host.domain});
    }
  }
  std::vector<HostRecord> owners;
  for (const Member& member : heatherlever::OwnerOrder(pool.Text(), members)) {
    owners.push_back(*Find(member.name));
  }
  std::stable_partition(owners.begin(), owners.end(),
                        [this, now](const HostRecord& host) {
                          return !IsSilent(host.name, now);
                        });
  return owners;
}

void Directory::ReportSilent(const std::string& name, Instant now) {
  silent_until_[name] = now + kSilentTime;
}

void Directory::ReportLeaving(const std::string& name) {
  if (const auto host = Find(name)) {
    leaving_[name] = host->incarnation;
  }
}

void Directory::SetDown(const std::string& name, bool down) {
  if (down) {
    down_.insert(name);
  } else {
    down_.erase(name);
  }
}

void Directory::ReportHeard(const std::string& name) {
  silent_until_.erase(name);
}

bool Directory::IsSilent(const std::string& name, Instant now) const {
  const auto leaving = leaving_.find(name);
  const auto host = Find(name);
  if (leaving != leaving_.end() && host &&
      host->incarnation == leaving->second) {
    return true;
  }
  const auto found = silent_until_.find(name);
  return down_.count(name) != 0 ||
         (found != silent_until_.end() && now < found->second);
}

int Directory::SilentCount(const std::string& region, Instant now) const {
  return static_cast<int>(
      std::count_if(epoch_.members.begin(), epoch_.members.end(),
                    [&](const HostRecord& host) {
                      return (region.empty() || host.region == region) &&
                             IsSilent(host.name, now);
                    }));
}

int Directory::HeardCount(Instant now) const {
  return static_cast<int>(epoch_.members.size()) - SilentCount("", now);
}

int Directory::MemberCount(const std::string& region) const {
  return static_cast<int>(std::count_if(
      epoch_.members.begin(), epoch_.members.end(),
      [&region](const HostRecord& host) { return host.region == region; }));
}

}  // namespace heather_entry
