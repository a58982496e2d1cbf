#include "heatherlever/lookup_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "heatherlever/block_table.h"
#include "heatherlever/deployment_spec.h"
#include "heatherlever/pool_name.h"
#include "heatherlever/rendezvous.h"

namespace heatherlever {
namespace {

Duration DelayBetween(const DeploymentSpec& spec,
                      const std::string& a,
                      const std::string& b) {
  for (const LinkSpec& link : spec.links) {
    if ((link.from == a && link.to == b) || (link.from == b && link.to == a)) {
      return link.delay;
    }
  }
  return a == b ? Duration(0) : Duration::max();
}

// Names of the regions, the nearest to `home` first.
std::vector<std::string> NearestRegions(const DeploymentSpec& spec,
                                        const std::string& home) {
  std::vector<std::pair<Duration, std::string>> regions;
  for (const RegionSpec& region : spec.regions) {
    // Before every delay, also where links take no time.
    const Duration delay = region.name == home
                               ? Duration(-1)
                               : DelayBetween(spec, home, region.name);
    regions.emplace_back(delay, region.name);
  }
  std::sort(regions.begin(), regions.end());
  std::vector<std::string> names;
  names.reserve(regions.size());
  for (auto& region : regions) {
    names.push_back(std::move(region.second));
  }
  return names;
}

std::vector<Member> MembersOf(const std::vector<Member>& members,
                              const std::string& region) {
  std::vector<Member> result;
  std::copy_if(members.begin(), members.end(), std::back_inserter(result),
               [&](const Member& member) { return member.region == region; });
  return result;
}

LookupAnswer MakeAnswer(const DeploymentSpec& spec,
                        const std::vector<Member>& members,
                        const std::set<std::string>& down,
                        const std::string& service,
                        const std::string& home,
                        const LookupOptions& options) {
  LookupAnswer answer;
  answer.time_to_live = options.time_to_live;
  for (const std::string& region : NearestRegions(spec, home)) {
    std::vector<Member> order =
        OwnerOrder(PoolName(service, region), MembersOf(members, region));
    std::stable_partition(
        order.begin(), order.end(),
        [&](const Member& member) { return !down.contains(member.name); });
    const std::size_t count =
        region == home ? options.home_hosts : options.other_hosts;
    order.resize(std::min(order.size(), count));
    for (const Member& member : order) {
      answer.hosts.push_back(member.name);
    }
  }
  std::stable_partition(
      answer.hosts.begin(), answer.hosts.end(),
      [&](const std::string& host) { return !down.contains(host); });
  return answer;
}

}  // namespace

LookupDirectory::LookupDirectory(const DeploymentSpec& spec,
                                 const std::vector<Member>& members,
                                 const std::set<std::string>& down,
                                 std::size_t local_region,
                                 std::shared_ptr<const BlockTable> blocks,
                                 const LookupOptions& options)
    : region_count_(spec.regions.size()),
      local_region_(local_region),
      blocks_(std::move(blocks)) {
  std::vector<std::string> services;
  for (const KindSpec& kind : spec.kinds) {
    const auto found =
        std::find(services.begin(), services.end(), kind.service);
    service_of_kind_.push_back(
        static_cast<std::size_t>(found - services.begin()));
    if (found != services.end()) {
      continue;
    }
    services.push_back(kind.service);
    for (const RegionSpec& region : spec.regions) {
      answers_.push_back(
          MakeAnswer(spec, members, down, kind.service, region.name, options));
    }
  }
}

const LookupAnswer& LookupDirectory::Find(std::size_t kind,
                                          std::uint32_t client_address) const {
  return FindByRegion(kind,
                      blocks_->Find(client_address).value_or(local_region_));
}

const LookupAnswer& LookupDirectory::FindByRegion(std::size_t kind,
                                                  std::size_t region) const {
  return answers_[service_of_kind_[kind] * region_count_ + region];
}

}  // namespace heatherlever
