#ifndef HEATHER_BENCH_PLACEMENT_DEPLOYMENT_H_
#define HEATHER_BENCH_PLACEMENT_DEPLOYMENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "heatherlever/block_table.h"
#include "heatherlever/deployment_spec.h"

namespace heather_bench_placement {

/// Regions, entry hosts and slots of the benchmark's deployment.
inline constexpr std::size_t kRegions = 3;
inline constexpr std::size_t kHosts = 22;
inline constexpr int kSlotsPerRegion = 48;
inline constexpr double kMaxShift = 0.3;
inline constexpr char kService[] = "levelview";

/// Three regions, one service and one rule with a cap of kMaxShift.
heatherlever::DeploymentSpec MakeDeployment();

/// Home regions of the deployment's clients.
std::shared_ptr<const heatherlever::BlockTable> MakeBlocks(
    const heatherlever::DeploymentSpec& spec);

/// A client's address in a region.
std::uint32_t ClientOf(std::size_t region);

/// The region of an entry host.
std::size_t RegionOfHost(std::size_t host);

}  // namespace heather_bench_placement

#endif  // HEATHER_BENCH_PLACEMENT_DEPLOYMENT_H_
