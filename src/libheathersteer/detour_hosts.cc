#include "heathersteer/detour_hosts.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time for which a host that can't handle requests is left out.
constexpr Duration kUnavailableTime = std::chrono::milliseconds(1000);
// Time for which other groups go before that of an unavailable host: a whole
// domain may be cut off.
constexpr Duration kGroupAvoidedTime = std::chrono::milliseconds(100);
// Time for which a host that has handled a request counts as able to.
constexpr Duration kHandledTime = std::chrono::milliseconds(1500);

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

void DetourHosts::SetHosts(const HostRegistration& self,
                           const std::vector<HostRegistration>& hosts) {
  std::map<std::string, Entry> known;
  for (Group& group : groups_) {
    for (Entry& entry : group.entries) {
      known[entry.host.name] = std::move(entry);
    }
    group.entries.clear();
  }
  for (const HostRegistration& host : hosts) {
    if (host.name == self.name) {
      continue;
    }
    const std::size_t group = host.domain == self.domain   ? 0
                              : host.region == self.region ? 1
                                                           : 2;
    Entry entry = known[host.name];
    entry.host = host;
    groups_[group].entries.push_back(std::move(entry));
  }
}

const HostRegistration* DetourHosts::Choose(
    const std::vector<std::string>& regions,
    const std::vector<std::string>& tried,
    Instant now) {
  for (const bool avoided : {false, true}) {
    for (Group& group : groups_) {
      if ((now < group.avoided_until) != avoided) {
        continue;
      }
      if (const auto* host = ChooseFrom(group, regions, tried, now)) {
        return host;
      }
    }
  }
  return nullptr;
}

const HostRegistration* DetourHosts::ChooseFrom(
    Group& group,
    const std::vector<std::string>& regions,
    const std::vector<std::string>& tried,
    Instant now) {
  const std::size_t count = group.entries.size();
  for (std::size_t i = 0; i < count; ++i) {
    const Entry& entry = group.entries[group.next++ % count];
    const bool allowed =
        regions.empty() || Contains(regions, entry.host.region);
    if (allowed && now >= entry.unavailable_until &&
        !Contains(tried, entry.host.name)) {
      return &entry.host;
    }
  }
  return nullptr;
}

void DetourHosts::RecordHandled(const std::string& name, Instant now) {
  for (Group& group : groups_) {
    for (Entry& entry : group.entries) {
      if (entry.host.name == name) {
        entry.handled_at = now;
        group.avoided_until = Instant(0);
      }
    }
  }
}

void DetourHosts::RecordUnavailable(const std::string& name, Instant now) {
  for (Group& group : groups_) {
    for (Entry& entry : group.entries) {
      if (entry.host.name == name) {
        entry.handled_at = Instant(0);
        entry.unavailable_until = now + kUnavailableTime;
        group.avoided_until = now + kGroupAvoidedTime;
      }
    }
  }
}

std::vector<std::string> DetourHosts::CallerEndpoints(Instant now) const {
  std::vector<std::string> endpoints;
  for (const Group& group : groups_) {
    for (const Entry& entry : group.entries) {
      if (entry.handled_at != Instant(0) &&
          now - entry.handled_at <= kHandledTime) {
        endpoints.push_back(entry.host.caller_endpoint);
      }
    }
  }
  return endpoints;
}

}  // namespace heathersteer
