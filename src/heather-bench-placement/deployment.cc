#include "heather-bench-placement/deployment.h"

#include <chrono>
#include <stdexcept>

namespace heather_bench_placement {
namespace {

constexpr std::uint32_t kFirstNetwork = 10;
constexpr int kNetworkShift = 24;
constexpr int kNetworkBits = 8;
constexpr double kLinkMbitPerSecond = 4000;

}  // namespace

heatherlever::DeploymentSpec MakeDeployment() {
  using std::chrono::milliseconds;
  heatherlever::DeploymentSpec spec;
  for (const std::string name : {"east", "middle", "west"}) {
    const auto region = static_cast<std::uint32_t>(spec.regions.size());
    spec.regions.push_back({name, {}, {"a", "b"}});
    spec.blocks.push_back(
        {(kFirstNetwork + region) << kNetworkShift, kNetworkBits, name});
    spec.backends.push_back(
        {name, {}, kService, name, "a", "", 0, kSlotsPerRegion, 0});
  }
  spec.links = {{"east", "middle", milliseconds(12), kLinkMbitPerSecond, 0.5},
                {"middle", "west", milliseconds(12), kLinkMbitPerSecond, 0.5},
                {"east", "west", milliseconds(12), kLinkMbitPerSecond, 0.5}};
  heatherlever::KindSpec reading;
  reading.name = "reading";
  reading.service = kService;
  reading.idempotent = true;
  spec.kinds = {reading};
  spec.rules = {{"readings", "idempotent = yes", "", kMaxShift}};
  return spec;
}

std::shared_ptr<const heatherlever::BlockTable> MakeBlocks(
    const heatherlever::DeploymentSpec& spec) {
  std::vector<std::string> names;
  for (const auto& region : spec.regions) {
    names.push_back(region.name);
  }
  auto table = heatherlever::BlockTable::Build(spec.blocks, names);
  if (!table.ok()) {
    throw std::logic_error(table.status().ToString());
  }
  return std::make_shared<heatherlever::BlockTable>(*std::move(table));
}

std::uint32_t ClientOf(std::size_t region) {
  return (kFirstNetwork + static_cast<std::uint32_t>(region)) << kNetworkShift;
}

std::size_t RegionOfHost(std::size_t host) {
  return host % kRegions;
}

}  // namespace heather_bench_placement
