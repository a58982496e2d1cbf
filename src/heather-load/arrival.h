#ifndef HEATHER_LOAD_ARRIVAL_H_
#define HEATHER_LOAD_ARRIVAL_H_

#include <cstdint>
#include <vector>

#include "heatherlever/instant.h"

namespace heather_load {

struct LoadPlan;
struct LoadStream;

/// One request to send.
struct Arrival {
  /// From the start of the load.
  heatherlever::Duration at{0};
  const LoadStream* stream = nullptr;
  std::uint32_t caller = 0;
  /// Position among all arrivals of the load.
  std::uint64_t number = 0;
};

/// Every arrival of a plan in order of time. The same plan gives the same
/// arrivals. They refer to the plan's streams.
std::vector<Arrival> MakeArrivals(const LoadPlan& plan);

}  // namespace heather_load

#endif  // HEATHER_LOAD_ARRIVAL_H_
