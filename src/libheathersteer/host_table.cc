#include "heathersteer/host_table.h"

#include <chrono>
#include <utility>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time in which running hosts register again after a restore of the store.
constexpr Duration kReregistrationTime = std::chrono::seconds(4);

}  // namespace

void HostTable::Update(const Listing<HostRegistration>& read, Instant now) {
  if (read.timeline < timeline_) {
    return;
  }
  const auto previous = std::exchange(kept_, {});
  if (timeline_ != 0 && read.timeline > timeline_) {
    lost_.insert(previous.begin(), previous.end());
    lost_until_ = now + kReregistrationTime;
  } else if (now >= lost_until_) {
    lost_.clear();
  }
  timeline_ = read.timeline;
  for (HostRegistration host : read.entries) {
    const auto known = previous.find(host.name);
    if (known != previous.end() && known->second.registration_version.number ==
                                       host.registration_version.number) {
      // Written before the restore, so older than what is written after it.
      host.registration_version = known->second.registration_version;
    }
    lost_.erase(host.name);
    kept_.emplace(host.name, std::move(host));
  }
}

std::vector<HostRegistration> HostTable::hosts() const {
  std::vector<HostRegistration> hosts;
  for (const auto* table : {&kept_, &lost_}) {
    for (const auto& [name, host] : *table) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

bool HostTable::IsLost(const std::string& name,
                       const StoreVersion& version) const {
  if (version.timeline >= timeline_) {
    return false;
  }
  const auto found = kept_.find(name);
  return found == kept_.end() ||
         found->second.registration_version.number < version.number;
}

}  // namespace heathersteer
