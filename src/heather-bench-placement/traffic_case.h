#ifndef HEATHER_BENCH_PLACEMENT_TRAFFIC_CASE_H_
#define HEATHER_BENCH_PLACEMENT_TRAFFIC_CASE_H_

#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heather_bench_placement {

/// What happens in one run.
enum class TrafficCase { kSteady, kDeadRegion, kRegionDrain, kWave };

/// Every case, in the order of the report.
std::vector<TrafficCase> AllCases();

/// Name of a case.
std::string CaseName(TrafficCase traffic_case);

/// Load of a region at a time, over what its slots can carry.
double LoadAt(TrafficCase traffic_case,
              std::size_t region,
              heatherlever::Instant now);

/// Whether the region is dead.
bool IsDead(TrafficCase traffic_case,
            std::size_t region,
            heatherlever::Instant now);

/// Share of the region's traffic that a drain moves away.
double DrainShareAt(TrafficCase traffic_case,
                    std::size_t region,
                    heatherlever::Instant now);

}  // namespace heather_bench_placement

#endif  // HEATHER_BENCH_PLACEMENT_TRAFFIC_CASE_H_
