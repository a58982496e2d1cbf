#include "heathersteer/relay_order.h"

#include <algorithm>
#include <tuple>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time for which a failed host is excluded. It is then tried again, because
// following the first host in the order works best.
constexpr Duration kExclusionTime = std::chrono::seconds(3);

bool Precedes(const HostRegistration& a, const HostRegistration& b) {
  return std::tie(a.registration_version, a.name) <
         std::tie(b.registration_version, b.name);
}

}  // namespace

void RelayOrder::SetHosts(const std::vector<HostRegistration>& hosts) {
  std::map<std::string, HostRegistration> known;
  for (const HostRegistration& host : hosts) {
    if (host.domain != self_.domain || host.name == self_.name) {
      continue;
    }
    HostRegistration& entry = known[host.name] = host;
    const auto previous = hosts_.find(host.name);
    if (previous != hosts_.end()) {
      entry.registration_version = std::max(
          entry.registration_version, previous->second.registration_version);
    }
  }
  hosts_ = std::move(known);
}

void RelayOrder::UpdateRegistration(const std::string& name,
                                    const StoreVersion& version) {
  const auto found = hosts_.find(name);
  if (found != hosts_.end()) {
    found->second.registration_version =
        std::max(found->second.registration_version, version);
  }
}

void RelayOrder::MarkFailed(const std::string& name, Instant now) {
  excluded_until_[name] = now + kExclusionTime;
}

std::optional<HostRegistration> RelayOrder::Choose(Instant now) const {
  std::optional<HostRegistration> first;
  for (const auto& [name, host] : hosts_) {
    const auto excluded = excluded_until_.find(name);
    if (excluded != excluded_until_.end() && now < excluded->second) {
      continue;
    }
    if (Precedes(host, self_) && (!first || Precedes(host, *first))) {
      first = host;
    }
  }
  return first;
}

}  // namespace heathersteer
