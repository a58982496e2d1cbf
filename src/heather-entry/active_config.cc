#include "heather-entry/active_config.h"

#include <vector>

#include "heatherlever/deployment_loader.h"

namespace heather_entry {

std::optional<std::size_t> ActiveConfig::KindIndex(
    const std::string& name) const {
  for (std::size_t i = 0; i < spec.kinds.size(); ++i) {
    if (spec.kinds[i].name == name) {
      return i;
    }
  }
  return std::nullopt;
}

std::string ActiveConfig::HomeOf(std::uint32_t client_address,
                                 const std::string& fallback) const {
  const auto region = blocks->Find(client_address);
  return region ? spec.regions[*region].name : fallback;
}

absl::StatusOr<std::shared_ptr<const ActiveConfig>> MakeActiveConfig(
    const heatherlever::ConfigRecord& record) {
  auto spec = heatherlever::LoadDeployment(
      record.yaml, "config/" + std::to_string(record.version));
  if (!spec.ok()) {
    return spec.status();
  }
  std::vector<std::string> regions;
  for (const heatherlever::RegionSpec& region : spec->regions) {
    regions.push_back(region.name);
  }
  auto blocks = heatherlever::BlockTable::Build(spec->blocks, regions);
  if (!blocks.ok()) {
    return blocks.status();
  }
  auto config = std::make_shared<ActiveConfig>();
  config->version = record.version;
  config->digest = record.digest;
  config->spec = *std::move(spec);
  config->blocks =
      std::make_shared<const heatherlever::BlockTable>(*std::move(blocks));
  return config;
}

}  // namespace heather_entry
