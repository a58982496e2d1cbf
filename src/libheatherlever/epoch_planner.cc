#include "heatherlever/epoch_planner.h"

#include <algorithm>
#include <set>

#include "heatherlever/deployment_spec.h"
#include "heatherlever/member.h"
#include "heatherlever/rendezvous.h"

namespace heatherlever {
namespace {

// Home and buddy.
constexpr std::size_t kPoolMembers = 2;

std::vector<Member> MembersOf(const std::vector<HostRecord>& hosts,
                              const std::string& region) {
  std::vector<Member> members;
  for (const HostRecord& host : hosts) {
    if (region.empty() || host.region == region) {
      members.push_back(
          {host.name, host.incarnation, host.region, host.domain});
    }
  }
  return members;
}

// One-way delay between two regions; the longest value if no link joins them.
Duration Delay(const DeploymentSpec& spec,
               const std::string& from,
               const std::string& to) {
  for (const LinkSpec& link : spec.links) {
    if ((link.from == from && link.to == to) ||
        (link.from == to && link.to == from)) {
      return link.delay;
    }
  }
  return Duration::max();
}

bool HasHosts(const std::vector<HostRecord>& members,
              const std::string& region) {
  return !MembersOf(members, region).empty();
}

// The region itself if it has entry hosts, otherwise the nearest one that has.
std::string ActingRegion(const EpochInput& input,
                         const std::vector<HostRecord>& members,
                         const std::string& home) {
  if (HasHosts(members, home)) {
    return home;
  }
  std::string nearest = home;
  Duration least = Duration::max();
  for (const RegionSpec& region : input.spec->regions) {
    const Duration delay = Delay(*input.spec, home, region.name);
    if (region.name != home && HasHosts(members, region.name) &&
        delay < least) {
      least = delay;
      nearest = region.name;
    }
  }
  return nearest;
}

// Owner and deputy of a pool in its acting region. Where that has too few
// hosts, hosts of other regions follow, as a home without a buddy runs nothing.
std::vector<HostId> HomeAndBuddy(const std::string& service,
                                 const std::string& acting,
                                 const std::vector<HostRecord>& members) {
  const std::string pool = service + "@" + acting;
  std::vector<Member> order = OwnerOrder(pool, MembersOf(members, acting));
  for (Member& member : OwnerOrder(pool, MembersOf(members, ""))) {
    if (std::find(order.begin(), order.end(), member) == order.end()) {
      order.push_back(std::move(member));
    }
  }
  std::vector<HostId> ids;
  for (const Member& member : order) {
    if (ids.size() < kPoolMembers) {
      ids.push_back({member.name, member.incarnation});
    }
  }
  return ids;
}

// The pool's assignment in `current`, or one that never had a term.
PoolAssignment Earlier(const std::optional<EpochRecord>& current,
                       const std::string& pool) {
  if (current) {
    for (const PoolAssignment& assignment : current->pools) {
      if (assignment.pool == pool) {
        return assignment;
      }
    }
  }
  return {pool, {}, {}};
}

std::set<std::string> Services(const DeploymentSpec& spec) {
  std::set<std::string> services;
  for (const KindSpec& kind : spec.kinds) {
    services.insert(kind.service);
  }
  return services;
}

void AssignPools(const std::optional<EpochRecord>& current,
                 const EpochInput& input,
                 EpochRecord& next) {
  for (const RegionSpec& region : input.spec->regions) {
    const std::string acting = ActingRegion(input, next.members, region.name);
    next.acting_regions[region.name] = acting;
    for (const std::string& service : Services(*input.spec)) {
      PoolAssignment assignment = Earlier(current, service + "@" + region.name);
      std::vector<HostId> ids = HomeAndBuddy(service, acting, next.members);
      if (ids != assignment.term.members) {
        assignment.previous = assignment.term;
        assignment.term = {next.number, std::move(ids)};
      }
      next.pools.push_back(std::move(assignment));
    }
  }
}

bool SameContent(const EpochRecord& a, const EpochRecord& b) {
  return a.config_version == b.config_version && a.members == b.members &&
         a.acting_regions == b.acting_regions && a.pools == b.pools;
}

const HostRecord* FindByName(const std::vector<HostRecord>& hosts,
                             const std::string& name) {
  for (const HostRecord& host : hosts) {
    if (host.name == name) {
      return &host;
    }
  }
  return nullptr;
}

}  // namespace

EpochPlanner::EpochPlanner(Duration missing_time)
    : missing_time_(missing_time) {}

std::vector<HostRecord> EpochPlanner::Members(
    const std::optional<EpochRecord>& current,
    const std::vector<HostRecord>& hosts,
    Instant now) {
  std::vector<HostRecord> members;
  for (const HostRecord& host : hosts) {
    missing_.erase(host.name);
    if (!host.leaving) {
      members.push_back(host);
    }
  }
  if (current) {
    for (const HostRecord& member : current->members) {
      if (FindByName(hosts, member.name) != nullptr) {
        continue;
      }
      const Instant since = missing_.emplace(member.name, now).first->second;
      if (now - since < missing_time_) {
        members.push_back(member);
      }
    }
  }
  std::sort(
      members.begin(), members.end(),
      [](const HostRecord& a, const HostRecord& b) { return a.name < b.name; });
  return members;
}

std::optional<EpochRecord> EpochPlanner::Plan(
    const std::optional<EpochRecord>& current,
    const EpochInput& input,
    Instant now) {
  EpochRecord next;
  next.number = current ? current->number + 1 : 1;
  next.config_version = input.config_version;
  next.members = Members(current, input.hosts, now);
  // An empty list is taken for a fault of the list, not of every host.
  if (next.members.empty()) {
    return std::nullopt;
  }
  AssignPools(current, input, next);
  if (current && SameContent(*current, next)) {
    return std::nullopt;
  }
  return next;
}

}  // namespace heatherlever
